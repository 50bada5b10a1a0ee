//! Stand-in for an external rate limit service. It answers OK or over the limit, hangs during a call, answers
//! late, fails, or answers with an unknown code. For resets and garbage, place a
//! [`Proxy`](crate::proxy::Proxy) in front of it.

use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::quota::ExpirationSpecifier;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::{Code, DescriptorStatus, Quota};
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_server::{
    RateLimitService, RateLimitServiceServer,
};
use frostvale_proto::envoy::service::ratelimit::v3::{RateLimitRequest, RateLimitResponse};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// How the service answers.
#[derive(Debug, Clone, PartialEq)]
pub enum RlsBehavior {
    /// Answers OK.
    Ok,
    /// Answers OK, with a quota for this many further requests, valid for a time.
    Ahead(u32, Duration),
    /// Answers over the limit, with the time until the reset.
    Over(Duration),
    /// Never answers.
    Hang,
    /// Answers OK after a delay.
    Late(Duration),
    /// Fails with a gRPC error (`INTERNAL`).
    Fail,
    /// Answers with the code `UNKNOWN`.
    Unknown,
    /// Uses these behaviors in turn, by the number of the call.
    Sequence(Vec<RlsBehavior>),
}

/// A running service. It ends when dropped.
pub struct Rls {
    /// Address where it listens.
    pub at: SocketAddr,
    behavior: watch::Sender<RlsBehavior>,
    calls: Arc<Mutex<Vec<RateLimitRequest>>>,
    /// Receives each call when it arrives.
    pub received: mpsc::UnboundedReceiver<RateLimitRequest>,
    task: JoinHandle<()>,
}

impl Drop for Rls {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Service {
    behavior: watch::Receiver<RlsBehavior>,
    calls: Arc<Mutex<Vec<RateLimitRequest>>>,
    received_sender: mpsc::UnboundedSender<RateLimitRequest>,
}

impl Rls {
    /// Starts a service at a free port of `ip`, which answers OK.
    ///
    /// # Errors
    /// When the listener cannot be bound.
    pub async fn start(ip: IpAddr) -> std::io::Result<Rls> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let behavior = watch::Sender::new(RlsBehavior::Ok);
        let calls: Arc<Mutex<Vec<RateLimitRequest>>> = Arc::default();
        let (received_sender, received) = mpsc::unbounded_channel();
        let service = Service { behavior: behavior.subscribe(), calls: calls.clone(), received_sender };
        let task = tokio::spawn(async move {
            let _ = Server::builder()
                .add_service(RateLimitServiceServer::new(service))
                .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
                .await;
        });
        Ok(Rls { at, behavior, calls, received, task })
    }

    /// Sets how the following calls are answered.
    pub fn set_behavior(&self, behavior: RlsBehavior) {
        self.behavior.send_replace(behavior);
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

#[tonic::async_trait]
impl RateLimitService for Service {
    async fn should_rate_limit(
        &self,
        request: Request<RateLimitRequest>,
    ) -> Result<Response<RateLimitResponse>, Status> {
        let call_index = {
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.push(request.get_ref().clone());
            calls.len() - 1
        };
        let _ = self.received_sender.send(request.into_inner());
        let behavior = self.behavior.borrow().clone();
        let behavior = match behavior {
            RlsBehavior::Sequence(behaviors) if !behaviors.is_empty() => {
                behaviors[call_index % behaviors.len()].clone()
            }
            behavior => behavior,
        };
        let respond = |code: Code, status: DescriptorStatus| {
            Ok(Response::new(RateLimitResponse {
                overall_code: code.into(),
                statuses: vec![DescriptorStatus { code: code.into(), ..status }],
                ..RateLimitResponse::default()
            }))
        };
        let default_status = DescriptorStatus::default();
        match behavior {
            RlsBehavior::Ok | RlsBehavior::Sequence(_) => respond(Code::Ok, default_status),
            RlsBehavior::Ahead(requests, time) => {
                let until = std::time::SystemTime::now() + time;
                let quota = Quota {
                    requests,
                    expiration_specifier: Some(ExpirationSpecifier::ValidUntil(until.into())),
                    id: String::new(),
                };
                let mut response = respond(Code::Ok, default_status)?;
                response.get_mut().quota = Some(quota);
                Ok(response)
            }
            RlsBehavior::Over(time) => {
                let reset = prost_types::Duration {
                    seconds: time.as_secs() as i64,
                    nanos: time.subsec_nanos() as i32,
                };
                respond(
                    Code::OverLimit,
                    DescriptorStatus { duration_until_reset: Some(reset), ..default_status },
                )
            }
            RlsBehavior::Hang => std::future::pending().await,
            RlsBehavior::Late(time) => {
                tokio::time::sleep(time).await;
                respond(Code::Ok, default_status)
            }
            RlsBehavior::Fail => Err(Status::internal("as told")),
            RlsBehavior::Unknown => respond(Code::Unknown, default_status),
        }
    }
}
