//! Detects by its digest, without decoding it, that a full endpoint list is already in effect.
//!
//! A digest costs O(n) of the text, about a tenth of decoding and comparing the list, and is computed in
//! bounded steps.

use std::hash::{BuildHasher, Hasher, RandomState};
use tokio::task::yield_now;

/// Number of bytes digested in one step.
const STEP_BYTES: usize = 64 * 1024;
/// Shorter texts are not digested, since decoding them takes no longer.
const MIN_DIGESTED_BYTES: usize = 16 * 1024;

/// Length of a text and its hash under a key that is random for each process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Digest {
    bytes: usize,
    hash: u64,
}

/// Digest and version of the full list in effect, as long as no later update has changed anything.
#[derive(Default)]
pub(super) struct LastList {
    key: RandomState,
    applied: Option<(Digest, u64)>,
}

impl LastList {
    /// Returns a digester that uses the key of this process.
    pub fn digester(&self) -> Digester {
        Digester(self.key.clone())
    }

    /// Returns the version of the list in effect if it has this digest.
    pub fn version_of(&self, digest: Option<Digest>) -> Option<u64> {
        let digest = digest?;
        self.applied.filter(|(applied, _)| *applied == digest).map(|(_, version)| version)
    }

    /// Stores the digest and version of a full list that has been applied.
    pub fn set_full_list(&mut self, digest: Option<Digest>, version: u64) {
        self.applied = digest.map(|digest| (digest, version));
    }

    /// Discards the stored list after any other change.
    pub fn clear(&mut self) {
        self.applied = None;
    }
}

/// Computes digests with one key.
pub(super) struct Digester(RandomState);

impl Digester {
    /// Computes the digest of a text in steps, yielding to the event loop between them. Returns `None` for a
    /// text shorter than [`MIN_DIGESTED_BYTES`].
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

    /// Like [`Digester::digest`], but in one step that blocks the event loop; only for startup.
    pub fn digest_blocking(&self, text: &[u8]) -> Option<Digest> {
        if text.len() < MIN_DIGESTED_BYTES {
            return None;
        }
        let mut hasher = self.0.build_hasher();
        text.chunks(STEP_BYTES).for_each(|piece| hasher.write(piece));
        Some(Digest { bytes: text.len(), hash: hasher.finish() })
    }
}
