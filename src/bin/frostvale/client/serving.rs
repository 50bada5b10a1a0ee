//! The task of one connection: reads commands, starts them in bounded slices, and closes the connection in
//! order.

use super::{Client, ConnectionState, ExpectedCommand, LINGER_TIMEOUT, RETAINED_BUFFER_BYTES};
use crate::fair_share::Slice;
use crate::gatekeeper::Shared;
use crate::resp::{CommandSkipper, ProtocolError};
use socket2::SockRef;
use std::io::{ErrorKind, Read};
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Size of one read of bytes that are dropped or that the runtime has not announced.
const CHUNK_BYTES: usize = 4096;

/// Commands that arrive later than this, on a connection of a stopping process on which nothing has been in
/// flight since, are no longer answered.
const MAX_REJECTING_TIME: Duration = Duration::from_millis(500);

/// What was read and not started yet.
struct Input {
    bytes: Vec<u8>,
    /// When the last of the bytes arrived.
    received_at: Instant,
    /// Whether `bytes` holds no complete command, as far as is known.
    is_incomplete: bool,
    /// Whether the last read stopped at its bound, so that more may have arrived.
    was_read_in_part: bool,
}

/// The client has disconnected, or the connection has failed.
struct Disconnected;

impl Client {
    /// Serves the connection until either side ends it.
    pub async fn serve(self: &Rc<Client>, gatekeeper: &Shared) {
        if self.process_commands(gatekeeper).await.is_ok() {
            self.close_gracefully().await;
        }
        self.state.set(ConnectionState::Closed);
    }

    /// Serves commands. Returns `Ok` once the sending side may be closed.
    async fn process_commands(self: &Rc<Client>, gatekeeper: &Shared) -> Result<(), Disconnected> {
        let mut input = Input {
            bytes: Vec::new(),
            received_at: Instant::now(),
            is_incomplete: true,
            was_read_in_part: false,
        };
        let mut rejecting_until = None;
        loop {
            if self.state.get() == ConnectionState::Closed {
                return Err(Disconnected);
            }
            // Commands that arrived while the pipeline was full are started once it has room.
            let has_room = self.answers.borrow().has_room();
            if has_room && !input.is_incomplete {
                self.process_slice(gatekeeper, &mut input).await?;
                continue;
            }
            // While the pipeline is full, the input may hold commands that are only not started yet.
            if has_room && self.exceeds_memory(&mut input) {
                continue;
            }
            if !has_room {
                self.reading.update(input.bytes.capacity(), RETAINED_BUFFER_BYTES);
            }
            let (is_drained, state) = (self.is_drained(), self.state.get());
            match state {
                ConnectionState::ClosingIdle if is_drained => {
                    if !self.read_before_closing(&mut input)? {
                        return Ok(());
                    }
                    self.state.set(ConnectionState::Open);
                    continue;
                }
                ConnectionState::Stopping if is_drained => {
                    if self.read_before_closing(&mut input)? {
                        continue;
                    }
                    // The first command on a connection that was just accepted may still be on its way.
                    if input.bytes.is_empty() && self.has_sent_command() {
                        return Ok(());
                    }
                }
                ConnectionState::Rejecting if is_drained => {
                    let end = *rejecting_until.get_or_insert_with(|| Instant::now() + MAX_REJECTING_TIME);
                    if input.received_at > end || !self.read_before_closing(&mut input)? {
                        return Ok(());
                    }
                    continue;
                }
                ConnectionState::Closing if is_drained => return Ok(()),
                _ => {}
            }
            let can_read = has_room
                && (state == ConnectionState::Open || (state == ConnectionState::Stopping && is_drained));
            self.wait_for_event(&mut input, can_read).await?;
        }
    }

    /// Waits until there is something to do, and reads if `can_read`.
    async fn wait_for_event(&self, input: &mut Input, can_read: bool) -> Result<(), Disconnected> {
        let has_unwritten = !self.answers.borrow().unwritten().is_empty();
        tokio::select! {
            connected = self.readable(), if can_read => {
                if !connected {
                    return Err(Disconnected);
                }
                self.read(input)?;
            }
            () = self.disconnected(), if !can_read => return Err(Disconnected),
            _ = self.stream.writable(), if has_unwritten => self.flush(),
            () = self.wake.notified() => {}
        }
        Ok(())
    }

    /// Starts commands for as long as one slice of the event loop's time allows.
    async fn process_slice(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        input: &mut Input,
    ) -> Result<(), Disconnected> {
        self.awaits_slice.set(true);
        let slice = self.begin_slice().await?;
        self.awaits_slice.set(false);
        let result = match self.is_skipping() {
            true => self.skip_command(&mut input.bytes).map(|is_complete| !is_complete),
            false => self.start_commands(gatekeeper, &mut input.bytes, input.received_at, &slice),
        };
        drop(slice);
        self.record_progress(input, result);
        if !input.is_incomplete || input.was_read_in_part {
            yield_now().await;
        }
        Ok(())
    }

    /// Records whether the rest of the input is incomplete, as a slice found it.
    fn record_progress(&self, input: &mut Input, is_incomplete: Result<bool, ProtocolError>) {
        match is_incomplete {
            Ok(is_incomplete) => input.is_incomplete = is_incomplete || input.bytes.is_empty(),
            Err(error) => {
                input.bytes = Vec::new();
                input.is_incomplete = true;
                self.close_with_error(error.0);
            }
        }
        if input.bytes.is_empty() && !self.is_skipping() {
            return;
        }
        match self.expected.get() {
            _ if !input.is_incomplete => {}
            (ExpectedCommand::Next, _) => {
                self.expected.set((ExpectedCommand::RestOfLater, input.received_at))
            }
            (ExpectedCommand::First, since) => self.expected.set((ExpectedCommand::RestOfFirst, since)),
            _ => {}
        }
    }

    /// Waits until it is this connection's turn to have commands started.
    async fn begin_slice(&self) -> Result<Slice<'_>, Disconnected> {
        let mut slice = pin!(self.source.begin());
        loop {
            let has_unwritten = !self.answers.borrow().unwritten().is_empty();
            tokio::select! {
                biased;
                slice = &mut slice => return Ok(slice),
                () = self.disconnected() => return Err(Disconnected),
                _ = self.stream.writable(), if has_unwritten => self.flush(),
                () = self.wake.notified() => {
                    if self.state.get() == ConnectionState::Closed {
                        return Err(Disconnected);
                    }
                }
            }
        }
    }

    /// Reports the memory that incomplete commands take. If there is not enough, what has arrived of this one
    /// is to be skipped: then returns true.
    fn exceeds_memory(&self, input: &mut Input) -> bool {
        if self.reading.update(input.bytes.capacity(), RETAINED_BUFFER_BYTES) {
            return false;
        }
        input.bytes.shrink_to_fit();
        if self.reading.update(input.bytes.capacity(), RETAINED_BUFFER_BYTES) || self.is_skipping() {
            return false;
        }
        self.skipper.replace(CommandSkipper::start(&mut input.bytes).unwrap_or_default());
        input.is_incomplete = !self.is_skipping();
        self.is_skipping()
    }

    /// Reads what has arrived, up to a bound, as far as the runtime knows of it.
    fn read(&self, input: &mut Input) -> Result<(), Disconnected> {
        self.read_from(input, |bytes| {
            bytes.reserve(2048);
            self.stream.try_read_buf(bytes)
        })?;
        Ok(())
    }

    /// Reads what has arrived on a connection that is about to be closed, up to a bound. Returns whether there
    /// was anything. The kernel is asked, as the runtime may not know yet of what arrived since it last waited
    /// for events: closing the connection then would lose a request that had arrived long before.
    fn read_before_closing(&self, input: &mut Input) -> Result<bool, Disconnected> {
        let mut chunk = [0; CHUNK_BYTES];
        self.read_from(input, |bytes| {
            let count = (&*SockRef::from(&self.stream)).read(&mut chunk)?;
            bytes.extend_from_slice(&chunk[..count]);
            Ok(count)
        })
    }

    /// Reads by `read_some` until nothing is left or the bound is reached. Returns whether anything was read.
    fn read_from(
        &self,
        input: &mut Input,
        mut read_some: impl FnMut(&mut Vec<u8>) -> std::io::Result<usize>,
    ) -> Result<bool, Disconnected> {
        let before = input.bytes.len();
        input.was_read_in_part = false;
        loop {
            match read_some(&mut input.bytes) {
                Ok(0) => return Err(Disconnected),
                Ok(_) if input.bytes.len() < RETAINED_BUFFER_BYTES => {}
                Ok(_) => {
                    input.was_read_in_part = true;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Disconnected),
            }
        }
        let has_read = input.bytes.len() > before;
        if has_read {
            input.received_at = self.last_received();
            input.is_incomplete = false;
        }
        Ok(has_read)
    }

    /// When the last of the bytes that are read arrived, independent of when this process was scheduled.
    fn last_received(&self) -> Instant {
        let id = self.connection_id.as_ref();
        id.map_or_else(Instant::now, |id| self.receive_times.last_received(id))
    }

    /// Waits until the client disconnects, also with unread bytes before the end of file: nothing else of it
    /// is wanted now.
    pub(super) async fn disconnected(&self) {
        // A socket that is polled for priority data alone becomes ready here only when the peer closes.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Waits until there is something to read. Returns false where the client has disconnected, whatever it
    /// sent before.
    async fn readable(&self) -> bool {
        self.stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed())
    }

    /// Closes the sending side, so that the client can read the last answer before the end of file. What
    /// arrives after that is read and dropped.
    async fn close_gracefully(&self) {
        if self.state.get() == ConnectionState::Closed
            || SockRef::from(&self.stream).shutdown(Shutdown::Write).is_err()
        {
            return;
        }
        self.state.set(ConnectionState::HalfClosed);
        self.expected.set((ExpectedCommand::Next, Instant::now()));
        self.slot_freed.notify_one();
        let until_closed = async {
            while self.state.get() != ConnectionState::Closed {
                self.wake.notified().await;
            }
        };
        let _ = timeout(LINGER_TIMEOUT, async {
            tokio::select! {
                () = self.drop_input() => {}
                () = until_closed => {}
            }
        })
        .await;
    }

    /// Reads and drops what arrives, in slices, until the client closes its side.
    async fn drop_input(&self) {
        let mut dropped = [0; CHUNK_BYTES];
        while self.stream.readable().await.is_ok() {
            let slice = self.source.begin().await;
            loop {
                match self.stream.try_read(&mut dropped) {
                    Ok(0) => return,
                    Ok(_) if slice.record_item() => {}
                    Ok(_) => break,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(_) => return,
                }
            }
            drop(slice);
            yield_now().await;
        }
    }
}
