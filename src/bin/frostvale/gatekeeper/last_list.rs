//! Recognises a whole endpoint list that has been applied already, by its digest, without decoding it.
//!
//! A digest costs about a tenth of decoding and comparing the list, O(n) of its text, and is made in bounded steps.

use std::hash::{BuildHasher, Hasher, RandomState};
use tokio::task::yield_now;

/// So much of a text is digested in one step.
const STEP_BYTES: usize = 64 * 1024;
/// A shorter text is as soon decoded.
const MIN_DIGESTED_BYTES: usize = 16 * 1024;

/// A text's length, and a hash with a key that this process drew by lot.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Digest {
    bytes: usize,
    hash: u64,
}

/// The whole list in effect, where nothing has been applied since.
#[derive(Default)]
pub(super) struct LastList {
    key: RandomState,
    applied: Option<(Digest, u64)>,
}

impl LastList {
    /// Makes digests.
    pub fn digester(&self) -> Digester {
        Digester(self.key.clone())
    }

    /// The version of a list with this digest, if that is the list in effect.
    pub fn version_of(&self, digest: Option<Digest>) -> Option<u64> {
        let digest = digest?;
        self.applied.filter(|(applied, _)| *applied == digest).map(|(_, version)| version)
    }

    /// A whole list has been applied.
    pub fn set_full_list(&mut self, digest: Option<Digest>, version: u64) {
        self.applied = digest.map(|digest| (digest, version));
    }

    /// Something else has been applied.
    pub fn clear(&mut self) {
        self.applied = None;
    }
}

/// Makes digests with one key.
pub(super) struct Digester(RandomState);

impl Digester {
    /// A text's digest, made in steps between which the event loop does what else is due; none for a short text.
    pub async fn digest(&self, text: &[u8]) -> Option<Digest> {
        if text.len() < MIN_DIGESTED_BYTES {
            return None;
        }
        let mut hasher = self.0.build_hasher();
        for piece in text.chunks(STEP_BYTES) {
            hasher.write(piece);
            yield_now().await;
        }
        Some(Digest { bytes: text.len(), hash: hasher.finish() })
    }

    /// The same in one step, before anybody is served.
    pub fn digest_blocking(&self, text: &[u8]) -> Option<Digest> {
        if text.len() < MIN_DIGESTED_BYTES {
            return None;
        }
        let mut hasher = self.0.build_hasher();
        text.chunks(STEP_BYTES).for_each(|piece| hasher.write(piece));
        Some(Digest { bytes: text.len(), hash: hasher.finish() })
    }
}
