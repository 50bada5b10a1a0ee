//! Bounds the memory of calls whose messages have arrived in part.
//!
//! The limit of a message's length bounds one call; a caller may begin any number of them and stop half way.
//! So the bodies of all calls that are being read are counted together.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tonic::Status;

/// Bytes that each call may hold even if the limit of all calls is exceeded: more than a usual call has.
const FREE_BYTES: usize = 16 * 1024;

/// The memory that all calls together may hold.
#[derive(Clone)]
pub struct CallMemory {
    used: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl CallMemory {
    /// Creates a limit of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> CallMemory {
        CallMemory { used: Arc::default(), max_bytes }
    }

    /// Counts the body of a call.
    pub fn count(&self, call: http::Request<tonic::body::Body>) -> http::Request<tonic::body::Body> {
        call.map(|inner| tonic::body::Body::new(CountedBody { inner, held_bytes: 0, memory: self.clone() }))
    }
}

/// The body of a call, whose bytes count until it is dropped. It fails when they exceed the limit.
struct CountedBody {
    inner: tonic::body::Body,
    held_bytes: usize,
    memory: CallMemory,
}

impl CountedBody {
    /// Counts bytes that have arrived.
    fn record(&mut self, bytes: usize) -> Result<(), Status> {
        self.held_bytes += bytes;
        let used = self.memory.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.held_bytes > FREE_BYTES && used > self.memory.max_bytes {
            return Err(Status::resource_exhausted("no memory left for a call of this size"));
        }
        Ok(())
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.record(data.len())?;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}
