//! RESP2 as clients and formula servers of the town need it: small, and for peers that are trusted.

use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpStream, ToSocketAddrs};

/// A connection.
pub struct RespConnection {
    /// What comes.
    pub read: BufReader<OwnedReadHalf>,
    /// What goes.
    pub write: OwnedWriteHalf,
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the value.
    Served(Vec<u8>),
    /// `-BUSY`, and when to come back in ms.
    Busy(Option<u64>),
    /// Any other error line.
    Failed(String),
}

fn spoilt(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl RespConnection {
    /// Of a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> RespConnection {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        RespConnection { read: BufReader::new(read), write }
    }

    /// Connects.
    ///
    /// # Errors
    /// As the socket says.
    pub async fn connect(at: impl ToSocketAddrs) -> io::Result<RespConnection> {
        Ok(RespConnection::new(TcpStream::connect(at).await?))
    }

    async fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.read.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }

    async fn bulk(&mut self, head: &str) -> io::Result<Option<Vec<u8>>> {
        let len: i64 = head.get(1..).and_then(|n| n.parse().ok()).ok_or_else(|| spoilt("no length"))?;
        let Ok(len) = usize::try_from(len) else { return Ok(None) };
        if len > 1 << 20 {
            return Err(spoilt("too long"));
        }
        let mut bytes = vec![0; len + 2];
        self.read.read_exact(&mut bytes).await?;
        bytes.truncate(len);
        Ok(Some(bytes))
    }

    /// The next command, as its parts; none at the end.
    ///
    /// # Errors
    /// When it can't be read.
    pub async fn read_command(&mut self) -> io::Result<Option<Vec<Vec<u8>>>> {
        let head = match self.line().await {
            Ok(head) => head,
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(e) => return Err(e),
        };
        let count: usize =
            head.strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(|| spoilt("no array"))?;
        let mut parts = Vec::with_capacity(count.min(16));
        for _ in 0..count {
            let head = self.line().await?;
            parts.push(self.bulk(&head).await?.unwrap_or_default());
        }
        Ok(Some(parts))
    }

    /// The answer to a request.
    ///
    /// # Errors
    /// When it can't be read, or the connection ends.
    pub async fn read_answer(&mut self) -> io::Result<Answer> {
        let head = self.line().await?;
        if let Some(line) = head.strip_prefix('-') {
            return Ok(match line.strip_prefix("BUSY") {
                Some(rest) => Answer::Busy(rest.trim().parse().ok()),
                None => Answer::Failed(line.to_string()),
            });
        }
        if head.starts_with('$') {
            return Ok(self.bulk(&head).await?.map_or(Answer::Failed("null".into()), Answer::Served));
        }
        if let Some(text) = head.strip_prefix('+') {
            return Ok(Answer::Served(text.as_bytes().to_vec()));
        }
        Err(spoilt("no answer"))
    }
}

/// A command.
#[must_use]
pub fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}
