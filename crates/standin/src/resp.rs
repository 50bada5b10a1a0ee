//! The subset of RESP2 that the client and formula server stand-ins need, for trusted peers.

use std::io;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpStream, ToSocketAddrs};

/// A RESP connection.
pub struct RespConnection {
    /// The buffered read half.
    pub read: BufReader<OwnedReadHalf>,
    /// The write half.
    pub write: OwnedWriteHalf,
}

/// A response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The request was served; holds the value.
    Served(Vec<u8>),
    /// `-BUSY`, with the time until a retry in ms if it is given.
    Busy(Option<u64>),
    /// Any other error line, without the `-`, or a null reply.
    Failed(String),
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_string())
}

impl RespConnection {
    /// Wraps a stream and sets TCP_NODELAY.
    #[must_use]
    pub fn new(stream: TcpStream) -> RespConnection {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        RespConnection { read: BufReader::new(read), write }
    }

    /// Connects to an address.
    ///
    /// # Errors
    /// When the connection cannot be made.
    pub async fn connect(at: impl ToSocketAddrs) -> io::Result<RespConnection> {
        Ok(RespConnection::new(TcpStream::connect(at).await?))
    }

    /// Reads a line without its line end.
    async fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.read.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }

    /// Reads the bulk string whose header line is `head`; `None` for null.
    async fn read_bulk(&mut self, head: &str) -> io::Result<Option<Vec<u8>>> {
        let len: i64 = head
            .get(1..)
            .and_then(|n| n.parse().ok())
            .ok_or_else(|| malformed("invalid length of a bulk string"))?;
        let Ok(len) = usize::try_from(len) else { return Ok(None) };
        if len > 1 << 20 {
            return Err(malformed("bulk string longer than 1 MiB"));
        }
        let mut bytes = vec![0; len + 2];
        self.read.read_exact(&mut bytes).await?;
        bytes.truncate(len);
        Ok(Some(bytes))
    }

    /// Reads the next command and returns its parts, or `None` at the end of the connection.
    ///
    /// # Errors
    /// When reading fails or the command is malformed.
    pub async fn read_command(&mut self) -> io::Result<Option<Vec<Vec<u8>>>> {
        let head = match self.read_line().await {
            Ok(head) => head,
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
            Err(e) => return Err(e),
        };
        let count: usize = head
            .strip_prefix('*')
            .and_then(|n| n.parse().ok())
            .ok_or_else(|| malformed("expected an array"))?;
        let mut parts = Vec::with_capacity(count.min(16));
        for _ in 0..count {
            let head = self.read_line().await?;
            parts.push(self.read_bulk(&head).await?.unwrap_or_default());
        }
        Ok(Some(parts))
    }

    /// Reads the response to a request: an error, a simple string or a bulk string.
    ///
    /// # Errors
    /// When reading fails, the connection ends or the response is malformed.
    pub async fn read_answer(&mut self) -> io::Result<Answer> {
        let head = self.read_line().await?;
        if let Some(line) = head.strip_prefix('-') {
            return Ok(match line.strip_prefix("BUSY") {
                Some(rest) => Answer::Busy(rest.trim().parse().ok()),
                None => Answer::Failed(line.to_string()),
            });
        }
        if head.starts_with('$') {
            return Ok(self.read_bulk(&head).await?.map_or(Answer::Failed("null".into()), Answer::Served));
        }
        if let Some(text) = head.strip_prefix('+') {
            return Ok(Answer::Served(text.as_bytes().to_vec()));
        }
        Err(malformed("unexpected type of response"))
    }
}

/// Returns the encoding of a command.
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
