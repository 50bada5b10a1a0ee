//! Listening at a Unix socket that only its owner may connect to.

use socket2::{Domain, SockAddr, Socket, Type};
use std::fs;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::Path;
use tokio::net::UnixListener;

/// Listens at a path; the socket has mode 0600 before any process can connect. A socket file that a dead
/// process left is replaced. A path at which a process still listens, or that is not a socket, is an error.
///
/// # Errors
/// If the path is in use or the socket cannot be created; the text names the path.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let error = |what: &str, e: io::Error| format!("socket {}: {what}: {e}", path.display());
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            return Err(format!("socket {}: the file exists and is no socket", path.display()));
        }
        Ok(_) => match UnixStream::connect(path) {
            Ok(_) => return Err(format!("socket {}: another process listens there", path.display())),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(e) => return Err(error("cannot check whether it is in use", e)),
        },
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(error("cannot read its file type", e)),
    }
    // The socket is created under another name: whoever finds the final one finds it listening and private.
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    let _ = fs::remove_file(&temporary);
    let bound = (|| {
        let socket = Socket::new(Domain::UNIX, Type::STREAM, None)?;
        socket.bind(&SockAddr::unix(&temporary)?)?;
        fs::set_permissions(&temporary, fs::Permissions::from_mode(0o600))?;
        socket.listen(64)?;
        socket.set_nonblocking(true)?;
        fs::rename(&temporary, path)?;
        UnixListener::from_std(std::os::unix::net::UnixListener::from(OwnedFd::from(socket)))
    })();
    bound.map_err(|e| {
        let _ = fs::remove_file(&temporary);
        error("cannot listen", e)
    })
}
