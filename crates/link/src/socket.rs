//! Listening at a Unix socket that only its owner may connect to.

use socket2::{Domain, SockAddr, Socket, Type};
use std::fs;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::Path;
use tokio::net::UnixListener;

/// Listens at a path, with mode 0600 before anyone can connect. A file that a dead process has left is replaced; one
/// at which somebody still listens is not, nor is anything that is no socket.
///
/// # Errors
/// With what stands in the way.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let said = |what: &str, e: io::Error| format!("socket {}: {what}: {e}", path.display());
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            return Err(format!("socket {}: stands there already and is no socket", path.display()));
        }
        Ok(_) => match UnixStream::connect(path) {
            Ok(_) => return Err(format!("socket {}: another process listens there", path.display())),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(e) => return Err(said("it can't be told whether it is in use", e)),
        },
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(said("cannot look at it", e)),
    }
    // Made under another name: whoever finds the final one finds it listening and private.
    let fresh = path.with_extension(format!("{}.new", std::process::id()));
    let _ = fs::remove_file(&fresh);
    let bound = (|| {
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        socket.bind(&SockAddr::unix(&fresh)?)?;
        fs::set_permissions(&fresh, fs::Permissions::from_mode(0o600))?;
        socket.listen(64)?;
        socket.set_nonblocking(true)?;
        fs::rename(&fresh, path)?;
        UnixListener::from_std(std::os::unix::net::UnixListener::from(OwnedFd::from(socket)))
    })();
    bound.map_err(|e| {
        let _ = fs::remove_file(&fresh);
        said("cannot listen", e)
    })
}
