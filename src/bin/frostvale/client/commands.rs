//! Starts the commands that a client has sent, or answers them at once. A command for which there is no memory
//! is read over and refused.

use super::{Client, ConnectionState, ExpectedCommand, RETAINED_BUFFER_BYTES};
use crate::client_request::ClientRequest;
use crate::fair_share::Slice;
use crate::gatekeeper::{ID_USED, Shared};
use crate::resp::{self, Command, ProtocolError};
use std::rc::Rc;
use std::time::Instant;

impl Client {
    /// Starts the complete commands in `bytes` as far as the pipeline has room and the slice allows. Returns
    /// whether the rest of `bytes` is no complete command. `received_at` is when the last of the bytes
    /// arrived: the client's deadline runs while its command waits here.
    pub(super) fn start_commands(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        bytes: &mut Vec<u8>,
        received_at: Instant,
        slice: &Slice,
    ) -> Result<bool, ProtocolError> {
        let mut at = 0;
        let result = loop {
            if !self.answers.borrow().has_room() {
                break Ok(false);
            }
            match resp::command(&bytes[at..]) {
                Ok(Some(command)) => {
                    self.start_command(gatekeeper, &bytes[at..], &command, received_at);
                    at += command.len;
                    if !slice.record_item() {
                        break Ok(false);
                    }
                }
                Ok(None) => break Ok(true),
                Err(error) => break Err(error),
            }
        };
        if at == bytes.len() && bytes.capacity() > RETAINED_BUFFER_BYTES {
            *bytes = Vec::new();
        } else {
            bytes.drain(..at);
        }
        if at > 0 {
            self.expected.set((ExpectedCommand::Next, Instant::now()));
        }
        result
    }

    /// Whether a command is being discarded.
    pub(super) fn is_skipping(&self) -> bool {
        self.skipper.borrow().is_some()
    }

    /// Discards what has arrived of a command for which there is no memory, and refuses it once it is
    /// complete. The commands behind it are not affected. Returns whether it is complete.
    pub(super) fn skip_command(&self, bytes: &mut Vec<u8>) -> Result<bool, ProtocolError> {
        let is_complete =
            self.skipper.borrow_mut().as_mut().map_or(Ok(true), |skipper| skipper.skip(bytes))?;
        if bytes.is_empty() {
            *bytes = Vec::new();
        }
        if is_complete {
            self.skipper.replace(None);
            self.expected.set((ExpectedCommand::Next, Instant::now()));
            self.respond(b"-BUSY\r\n");
        }
        Ok(is_complete)
    }

    /// Parses and starts one command, or answers it at once.
    pub(super) fn start_command(
        self: &Rc<Client>,
        gatekeeper: &Shared,
        bytes: &[u8],
        command: &Command,
        received_at: Instant,
    ) {
        let name = command.part(bytes, 0);
        if name == b"Q.ASK" || name == b"Q.DO" {
            if self.state.get() >= ConnectionState::Rejecting {
                return self.respond(b"-BUSY\r\n");
            }
            let request = {
                let gatekeeper = gatekeeper.borrow();
                ClientRequest::parse(
                    &gatekeeper.conf,
                    &gatekeeper.settings,
                    |client_id| gatekeeper.check_new_id(client_id),
                    bytes,
                    command,
                )
            };
            match request {
                Ok(mut request) => {
                    request.wait_ms -= received_at.elapsed().as_secs_f64() * 1000.0;
                    let mut gatekeeper = gatekeeper.borrow_mut();
                    if !gatekeeper.has_room(&request) {
                        return self.respond(b"-BUSY\r\n");
                    }
                    let id = gatekeeper.next_id();
                    self.answers.borrow_mut().push_pending(id);
                    gatekeeper.handle_request(id, request, self.clone());
                }
                Err(what) => {
                    if what == ID_USED {
                        gatekeeper.borrow_mut().metrics.id_used_again();
                    }
                    self.respond(format!("-ERR {what}\r\n").as_bytes());
                }
            }
        } else if name.eq_ignore_ascii_case(b"PING") {
            let mut pong = Vec::new();
            match command.count {
                1 => pong.extend_from_slice(b"+PONG\r\n"),
                _ => resp::put_bulk(&mut pong, command.part(bytes, 1)),
            }
            if gatekeeper.borrow().is_serving() {
                return self.respond(&pong);
            }
            let mut gatekeeper = gatekeeper.borrow_mut();
            let id = gatekeeper.next_id();
            self.answers.borrow_mut().push_pending(id);
            gatekeeper.answer_once_serving(id, self.clone(), pong);
        } else {
            self.respond(b"-ERR unknown command\r\n");
        }
    }
}
