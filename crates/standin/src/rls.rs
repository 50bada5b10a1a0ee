//! An outside rate limit service: it says OK or over the limit, hangs in the middle of a call, answers late, fails,
//! or says something that means nothing. Put a [`Proxy`](crate::proxy::Proxy) before it for resets and noise.

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

/// What it says.
#[derive(Debug, Clone, PartialEq)]
pub enum RlsBehavior {
    /// OK.
    Ok,
    /// OK, and so many requests more for a time.
    Ahead(u32, Duration),
    /// Over the limit, until then.
    Over(Duration),
    /// Nothing, ever.
    Hang,
    /// OK, so much later.
    Late(Duration),
    /// A gRPC error.
    Fail,
    /// A code that means nothing.
    Unknown,
    /// Each in turn.
    Sequence(Vec<RlsBehavior>),
}

/// A running service. Ends when dropped.
pub struct Rls {
    /// Where it listens.
    pub at: SocketAddr,
    say: watch::Sender<RlsBehavior>,
    calls: Arc<Mutex<Vec<RateLimitRequest>>>,
    /// Told of each call when it comes.
    pub received: mpsc::UnboundedReceiver<RateLimitRequest>,
    task: JoinHandle<()>,
}

impl Drop for Rls {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Service {
    say: watch::Receiver<RlsBehavior>,
    calls: Arc<Mutex<Vec<RateLimitRequest>>>,
    tell: mpsc::UnboundedSender<RateLimitRequest>,
}

impl Rls {
    /// Starts one at a free port.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(ip: IpAddr) -> std::io::Result<Rls> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let at = listener.local_addr()?;
        let say = watch::Sender::new(RlsBehavior::Ok);
        let calls: Arc<Mutex<Vec<RateLimitRequest>>> = Arc::default();
        let (tell, received) = mpsc::unbounded_channel();
        let service = Service { say: say.subscribe(), calls: calls.clone(), tell };
        let task = tokio::spawn(async move {
            let _ = Server::builder()
                .add_service(RateLimitServiceServer::new(service))
                .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
                .await;
        });
        Ok(Rls { at, say, calls, received, task })
    }

    /// Sets what it says from now on.
    pub fn set_behavior(&self, say: RlsBehavior) {
        self.say.send_replace(say);
    }

    /// Calls so far.
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
        let turn = {
            let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
            calls.push(request.get_ref().clone());
            calls.len() - 1
        };
        let _ = self.tell.send(request.into_inner());
        let say = self.say.borrow().clone();
        let say = match say {
            RlsBehavior::Sequence(all) if !all.is_empty() => all[turn % all.len()].clone(),
            say => say,
        };
        let answer = |code: Code, status: DescriptorStatus| {
            Ok(Response::new(RateLimitResponse {
                overall_code: code.into(),
                statuses: vec![DescriptorStatus { code: code.into(), ..status }],
                ..RateLimitResponse::default()
            }))
        };
        let plain = DescriptorStatus::default();
        match say {
            RlsBehavior::Ok | RlsBehavior::Sequence(_) => answer(Code::Ok, plain),
            RlsBehavior::Ahead(requests, time) => {
                let until = std::time::SystemTime::now() + time;
                let quota = Quota {
                    requests,
                    expiration_specifier: Some(ExpirationSpecifier::ValidUntil(until.into())),
                    id: String::new(),
                };
                let mut response = answer(Code::Ok, plain)?;
                response.get_mut().quota = Some(quota);
                Ok(response)
            }
            RlsBehavior::Over(time) => {
                let reset = prost_types::Duration {
                    seconds: time.as_secs() as i64,
                    nanos: time.subsec_nanos() as i32,
                };
                answer(Code::OverLimit, DescriptorStatus { duration_until_reset: Some(reset), ..plain })
            }
            RlsBehavior::Hang => std::future::pending().await,
            RlsBehavior::Late(time) => {
                tokio::time::sleep(time).await;
                answer(Code::Ok, plain)
            }
            RlsBehavior::Fail => Err(Status::internal("as told")),
            RlsBehavior::Unknown => answer(Code::Unknown, plain),
        }
    }
}
