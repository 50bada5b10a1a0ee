//! Listeners: the rate limit service with gRPC health and reflection, and the control socket.

use crate::config::{Config, Tls};
use crate::council::{CouncilSeat, CouncilService};
use crate::fleet::Fleet;
use crate::operators::Operators;
use crate::outside::Outside;
use crate::record::RecordKeeper;
use crate::rls::Service;
use frostvale_proto::agent::agent_server::AgentServer;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_server::RateLimitServiceServer;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio_stream::wrappers::UnixListenerStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

/// The longest call that is read, in bytes: more than the most descriptors of the most entries fill.
const CALL_MOST: usize = 512 * 1024;
/// Calls in hand on one connection.
const STREAMS: u32 = 1024;
/// A connection over which nothing comes is tested this often, and closed after as long again.
const ALIVE: Duration = Duration::from_secs(20);

/// Calls in hand at a stop are answered within this time, or not at all.
const CALLS_END: Duration = Duration::from_secs(2);

/// Runs until `stop` says so, then takes the last words of its gatekeepers.
///
/// # Errors
/// With one line on what can't be used.
pub async fn run(
    config: Config,
    mut stop: watch::Receiver<bool>,
    ready: impl FnOnce(Option<SocketAddr>),
) -> Result<(), String> {
    let outside = config.outside.as_ref().map(Outside::new).transpose()?;
    let rls = config.rls.clone();
    let listener = match &rls {
        Some(rls) => {
            let at = rls.listen;
            let listener = TcpListener::bind(at).await;
            Some(listener.map_err(|e| format!("rls.listen: cannot listen at {at}: {e}"))?)
        }
        None => None,
    };
    let tls = rls.as_ref().and_then(|rls| rls.tls.as_ref()).map(server_tls).transpose()?;
    let control = config.control.as_ref().map(|c| private_socket(&c.socket)).transpose()?;
    let record = match &config.record {
        Some(record) => Some(RecordKeeper::open(record, &config.name).await?),
        None => None,
    };
    let keeper = record.as_ref().map(|(keeper, _)| keeper.clone());
    crate::clock::set_off(&config.drill);
    let at = listener.as_ref().and_then(|l| l.local_addr().ok());
    let seat = match &config.council {
        Some(part) => {
            let at = at.map_or(String::new(), |at| at.to_string());
            Some(CouncilSeat::start(&config, part, &at, keeper.clone())?)
        }
        None => None,
    };
    if let Some(keeper) = keeper.as_ref().filter(|_| seat.is_some()) {
        keeper.set_council_governed();
    }
    let fleet = Fleet::start(&config, outside.clone(), record, seat.as_ref());
    let service = Service::new(fleet.clone(), rls.clone().unwrap_or_default());
    if let Some(listener) = control {
        let status = Operators {
            name: config.name.clone(),
            fleet: fleet.clone(),
            counts: service.counts(),
            fleet_name: config.council.as_ref().map_or(String::new(), |c| c.fleet.clone()),
            keeper: keeper.clone(),
            outside,
            seat: seat.clone(),
        };
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let served = Server::builder()
                .add_service(AgentServer::new(status))
                .serve_with_incoming_shutdown(UnixListenerStream::new(listener), async move {
                    let _ = stop.wait_for(|stop| *stop).await;
                });
            if let Err(e) = served.await {
                tracing::warn!("the control socket has failed: {e}; checks go on");
            }
        });
    }
    ready(at);
    // Others are heard until the duties of this agent are theirs.
    if let Some(seat) = seat.clone() {
        let (late, stopped) = watch::channel(false);
        let mut asked = std::mem::replace(&mut stop, stopped);
        tokio::spawn(async move {
            let _ = asked.wait_for(|stop| *stop).await;
            seat.close().await;
            let _ = late.send(true);
        });
    }
    let served = match (listener, rls) {
        (Some(listener), Some(_)) => {
            let mut stopped = stop.clone();
            let door = seat.as_ref().map(|s| CouncilService(s.clone()));
            let served = serve_rls(listener, tls, service, door, fleet, stop);
            tokio::pin!(served);
            tokio::select! {
                ended = &mut served => ended,
                // A caller that never closes its connection must not keep it here.
                () = async {
                    let _ = stopped.wait_for(|stop| *stop).await;
                    tokio::time::sleep(CALLS_END).await;
                } => Ok(()),
            }
        }
        _ => {
            let _ = stop.wait_for(|stop| *stop).await;
            Ok(())
        }
    };
    // Calls in hand may still have been charged: last words come after them.
    if let Some(keeper) = keeper
        && served.is_ok()
    {
        keeper.stop().await;
    }
    if let Some(seat) = seat {
        seat.council.shutdown().await;
    }
    served
}

async fn serve_rls(
    listener: TcpListener,
    tls: Option<ServerTlsConfig>,
    service: Service,
    door: Option<CouncilService>,
    fleet: Arc<Fleet>,
    mut stop: watch::Receiver<bool>,
) -> Result<(), String> {
    let (reporter, health) = tonic_health::server::health_reporter();
    // Healthy is who can have checks decided: balancers take their calls elsewhere else.
    let mut up = fleet.up();
    tokio::spawn(async move {
        loop {
            if *up.borrow_and_update() > 0 {
                reporter.set_serving::<RateLimitServiceServer<Service>>().await;
            } else {
                reporter.set_not_serving::<RateLimitServiceServer<Service>>().await;
            }
            if up.changed().await.is_err() {
                return;
            }
        }
    });
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(frostvale_proto::RLS_DESCRIPTORS)
        .register_encoded_file_descriptor_set(tonic_health::pb::FILE_DESCRIPTOR_SET)
        .build_v1()
        .map_err(|e| format!("reflection: {e}"))?;
    let mut server = Server::builder();
    if let Some(tls) = tls {
        server = server.tls_config(tls).map_err(|e| format!("rls.tls: {e}"))?;
    }
    server
        .max_concurrent_streams(STREAMS)
        .http2_keepalive_interval(Some(ALIVE))
        .http2_keepalive_timeout(Some(ALIVE))
        .add_service(RateLimitServiceServer::new(service).max_decoding_message_size(CALL_MOST))
        .add_service(health)
        .add_service(reflection)
        .add_optional_service(door.map(CouncilService::service))
        .serve_with_incoming_shutdown(TcpIncoming::from(listener).with_nodelay(Some(true)), async move {
            let _ = stop.wait_for(|stop| *stop).await;
        })
        .await
        .map_err(|e| format!("the rate limit service has failed: {e}"))
}

fn server_tls(tls: &Tls) -> Result<ServerTlsConfig, String> {
    let read = |field: &str, path: &Path| {
        std::fs::read(path).map_err(|e| format!("rls.tls.{field}: cannot read {}: {e}", path.display()))
    };
    let identity = Identity::from_pem(read("cert", &tls.cert)?, read("key", &tls.key)?);
    let ca = Certificate::from_pem(read("client_ca", &tls.client_ca)?);
    Ok(ServerTlsConfig::new().identity(identity).client_ca_root(ca))
}

/// A Unix socket that only its owner may connect to. A file that a dead process has left is replaced.
fn private_socket(path: &Path) -> Result<UnixListener, String> {
    frostvale_link::socket::listen(path).map_err(|e| format!("control.{e}"))
}

/// A client of an agent's control socket.
///
/// # Errors
/// When nobody listens there.
pub async fn control(
    socket: &Path,
) -> Result<frostvale_proto::agent::agent_client::AgentClient<tonic::transport::Channel>, String> {
    let path = socket.to_path_buf();
    let connect = tower::service_fn(move |_: tonic::transport::Uri| {
        let path = path.clone();
        async move { UnixStream::connect(path).await.map(hyper_util::rt::TokioIo::new) }
    });
    let channel = tonic::transport::Endpoint::from_static("http://agent")
        .connect_timeout(Duration::from_secs(2))
        .timeout(Duration::from_secs(5))
        .connect_with_connector(connect)
        .await
        .map_err(|e| {
            format!(
                "no agent answers at {}: {e:?}; is frostagent running, and is this its control.socket?",
                socket.display()
            )
        })?;
    Ok(frostvale_proto::agent::agent_client::AgentClient::new(channel))
}
