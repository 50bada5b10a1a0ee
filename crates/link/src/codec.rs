//! Frames: the length of the message in 4 bytes, big endian, and the message. No input or output.

use prost::Message;
use std::fmt;

/// The longest message, in bytes. What announces more is no frame, and nothing is kept for it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
const HEAD: usize = 4;

/// Why bytes are no frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// Announced with this length.
    Length(usize),
    /// The message can't be read.
    Message(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "a frame of {n} bytes; 1 to {MAX_FRAME_BYTES} are taken"),
            FrameError::Message(what) => write!(f, "a frame can't be read: {what}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Appends a message as a frame.
///
/// # Errors
/// When the message is empty or longer than [`MAX_FRAME_BYTES`]; then nothing is appended.
pub fn append_frame<M: Message>(out: &mut Vec<u8>, message: &M) -> Result<(), FrameError> {
    let len = message.encoded_len();
    if !(1..=MAX_FRAME_BYTES).contains(&len) {
        return Err(FrameError::Length(len));
    }
    out.reserve(HEAD + len);
    out.extend_from_slice(&u32::try_from(len).unwrap_or(0).to_be_bytes());
    message.encode(out).map_err(|e| FrameError::Message(e.to_string()))
}

/// Takes bytes as they come and gives whole messages.
#[derive(Default)]
pub struct FrameReader {
    bytes: Vec<u8>,
    at: usize,
}

impl FrameReader {
    /// Room to read into; what is read is appended.
    pub fn read_buffer(&mut self) -> &mut Vec<u8> {
        if self.at > 0 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_FRAME_BYTES / 4 {
            self.bytes = Vec::new();
        }
        // Never more at a time than a frame wants, so that a flood of frames is not read ahead of its turn.
        self.bytes.reserve(16 * 1024);
        &mut self.bytes
    }

    /// Whether a frame is half here.
    #[must_use]
    pub fn has_partial_frame(&self) -> bool {
        self.at < self.bytes.len()
    }

    /// The next whole message, if there is one.
    ///
    /// # Errors
    /// When the bytes are no frame: nothing that follows can be read either.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let rest = &self.bytes[self.at..];
        let Some(head) = rest.first_chunk::<HEAD>() else { return Ok(None) };
        let len = u32::from_be_bytes(*head) as usize;
        if !(1..=MAX_FRAME_BYTES).contains(&len) {
            return Err(FrameError::Length(len));
        }
        let Some(body) = rest.get(HEAD..HEAD + len) else { return Ok(None) };
        let message = M::decode(body).map_err(|e| FrameError::Message(e.to_string()))?;
        self.at += HEAD + len;
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
        fn frames_come_out_as_they_went_in_however_they_are_cut(
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
        fn rubbish_never_panics_and_keeps_no_more_than_it_was_given(noise in prop::collection::vec(any::<u8>(), 0..4000)) {
            let mut frames = FrameReader::default();
            frames.read_buffer().extend_from_slice(&noise);
            while let Ok(Some(_)) = frames.next_message::<ToNode>() {}
        }
    }

    #[test]
    fn four_gigabytes_announced_are_turned_away_at_the_head() {
        let mut frames = FrameReader::default();
        frames.read_buffer().extend_from_slice(&u32::MAX.to_be_bytes());
        assert_eq!(frames.next_message::<ToNode>(), Err(FrameError::Length(u32::MAX as usize)));
        let mut empty = FrameReader::default();
        empty.read_buffer().extend_from_slice(&[0; 4]);
        assert_eq!(empty.next_message::<ToNode>(), Err(FrameError::Length(0)));
    }
}
