//! Frames: the length of the message in 4 bytes, big endian, and the protobuf message. This module does no
//! input or output.

use prost::Message;
use std::fmt;

/// The longest message, in bytes. A longer announced length is an error, and no memory is reserved for it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The length prefix.
const HEADER_BYTES: usize = 4;

/// Why bytes are not a valid frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The length, in bytes, is 0 or over [`MAX_FRAME_BYTES`].
    Length(usize),
    /// The message cannot be encoded or decoded.
    Message(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "invalid frame length {n}: 1 to {MAX_FRAME_BYTES} bytes"),
            FrameError::Message(what) => write!(f, "cannot encode or decode a frame: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a message as a frame.
///
/// # Errors
/// If the message is empty or longer than [`MAX_FRAME_BYTES`]; then nothing is appended.
pub fn append_frame<M: Message>(out: &mut Vec<u8>, message: &M) -> Result<(), FrameError> {
    let len = message.encoded_len();
    if !(1..=MAX_FRAME_BYTES).contains(&len) {
        return Err(FrameError::Length(len));
    }
    out.reserve(HEADER_BYTES + len);
    out.extend_from_slice(&u32::try_from(len).unwrap_or(0).to_be_bytes());
    message.encode(out).map_err(|e| FrameError::Message(e.to_string()))
}

/// Splits a stream of bytes into messages.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    /// Where the next frame begins in `bytes`.
    position: usize,
}

impl FrameReader {
    /// The buffer to read into; new bytes are appended to it.
    pub fn read_buffer(&mut self) -> &mut Vec<u8> {
        if self.position > 0 {
            self.bytes.drain(..self.position);
            self.position = 0;
        }
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_FRAME_BYTES / 4 {
            self.bytes = Vec::new();
        }
        // One read takes a limited amount, so that a flood of frames is not buffered before it is handled.
        self.bytes.reserve(16 * 1024);
        &mut self.bytes
    }

    /// Whether part of a frame is buffered.
    #[must_use]
    pub fn has_partial_frame(&self) -> bool {
        self.position < self.bytes.len()
    }

    /// The next complete message, if there is one.
    ///
    /// # Errors
    /// If the bytes are not a valid frame: nothing that follows can be read either.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let rest = &self.bytes[self.position..];
        let Some(head) = rest.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let len = u32::from_be_bytes(*head) as usize;
        if !(1..=MAX_FRAME_BYTES).contains(&len) {
            return Err(FrameError::Length(len));
        }
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + len) else { return Ok(None) };
        let message = M::decode(body).map_err(|e| FrameError::Message(e.to_string()))?;
        self.position += HEADER_BYTES + len;
        Ok(Some(message))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use frostvale_proto::link::{Check, ToNode};
    use proptest::prelude::*;

    fn message(ids: &[u64]) -> ToNode {
        let check = |id: &u64| Check { id: *id, shop: format!("{id:016x}"), ..Check::default() };
        ToNode { checks: ids.iter().map(check).collect(), ..ToNode::default() }
    }

    proptest! {
        #[test]
        fn reader_returns_written_frames_when_stream_is_split_anywhere(
            batches in prop::collection::vec(prop::collection::vec(1u64.., 1..20), 1..8),
            cuts in prop::collection::vec(1usize..200, 1..50),
        ) {
            let mut bytes = Vec::new();
            for ids in &batches {
                append_frame(&mut bytes, &message(ids)).expect("short");
            }
            let (mut frames, mut out, mut at) = (FrameReader::default(), Vec::new(), 0);
            for cut in cuts.iter().cycle() {
                let end = (at + cut).min(bytes.len());
                frames.read_buffer().extend_from_slice(&bytes[at..end]);
                at = end;
                while let Some(m) = frames.next_message::<ToNode>().expect("sound") {
                    out.push(m);
                }
                if at == bytes.len() {
                    break;
                }
            }
            prop_assert_eq!(out, batches.iter().map(|ids| message(ids)).collect::<Vec<_>>());
            prop_assert!(!frames.has_partial_frame());
        }

        #[test]
        fn reader_does_not_panic_on_random_bytes(input in prop::collection::vec(any::<u8>(), 0..4000)) {
            let mut frames = FrameReader::default();
            frames.read_buffer().extend_from_slice(&input);
            while let Ok(Some(_)) = frames.next_message::<ToNode>() {}
        }
    }

    #[test]
    fn reader_refuses_length_of_zero_or_four_gigabytes_at_the_header() {
        let mut frames = FrameReader::default();
        frames.read_buffer().extend_from_slice(&u32::MAX.to_be_bytes());
        assert_eq!(frames.next_message::<ToNode>(), Err(FrameError::Length(u32::MAX as usize)));
        let mut empty = FrameReader::default();
        empty.read_buffer().extend_from_slice(&[0; 4]);
        assert_eq!(empty.next_message::<ToNode>(), Err(FrameError::Length(0)));
    }
}
