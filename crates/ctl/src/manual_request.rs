//! `frostctl check` and `frostctl ask`: send one rate limit call or one request, to try an interface by hand.

use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_standin::client::{self, Shop};
use frostvale_standin::resp::{Answer, RespConnection};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code: the request was refused, or the call was over the limit.
const EXIT_REFUSED: u8 = 5;

/// The shop that a request or call is for, and its units.
#[derive(clap::Args)]
pub struct ShopArgs {
    /// The shop, 16 hex digits.
    #[arg(long, default_value = "00000000b4d65521")]
    shop: String,
    /// The shop's plan.
    #[arg(long, default_value = "basico")]
    plan: String,
    /// Units that the request takes.
    #[arg(long, default_value_t = 1)]
    units: u32,
    /// The first gatekeeper of the shop's set.
    #[arg(long)]
    first: Option<u32>,
    /// How many gatekeepers the set has.
    #[arg(long)]
    spread: Option<u32>,
}

/// Arguments of `frostctl check`, a rate limit call.
#[derive(clap::Args)]
pub struct CheckArgs {
    /// Address of the rate limit service.
    #[arg(long, default_value = "127.0.0.1:8081")]
    rls: SocketAddr,
    /// The class, which sets the time limit of the decision.
    #[arg(long)]
    class: Option<String>,
    /// Domain of the rate limit call.
    #[arg(long, default_value = "frostvale")]
    domain: String,
    #[command(flatten)]
    what: ShopArgs,
}

/// Arguments of `frostctl ask`, a request over RESP2.
#[derive(clap::Args)]
pub struct RequestArgs {
    /// Address of the gatekeeper's RESP2 listener.
    #[arg(long)]
    gatekeeper: SocketAddr,
    /// The class. Every class other than formula-read is sent with a key.
    #[arg(long, default_value = "formula-read")]
    class: String,
    /// Longest wait for the answer, in ms.
    #[arg(long, default_value_t = 1000)]
    wait_ms: u64,
    #[command(flatten)]
    what: ShopArgs,
}

fn shop(args: &ShopArgs) -> Shop {
    let (first, spread) = (args.first.unwrap_or(0), args.spread.unwrap_or(1));
    Shop { id: args.shop.clone(), plan: args.plan.clone(), first, spread }
}

/// Makes a rate limit call and prints its answer.
pub async fn check(args: CheckArgs) -> Result<ExitCode, String> {
    let has_set = args.what.first.is_some() || args.what.spread.is_some();
    let mut call = client::rate_limit_call(&shop(&args.what), has_set, args.what.units);
    call.domain = args.domain;
    if let (Some(class), Some(descriptor)) = (args.class, call.descriptors.first_mut()) {
        descriptor.entries.push(Entry { key: "class".into(), value: class });
    }
    let mut client = client::rls_client(args.rls)?;
    let mut request = tonic::Request::new(call);
    request.set_timeout(Duration::from_secs(2));
    let answer = client.should_rate_limit(request).await.map_err(|e| {
        let hint =
            if e.code() == tonic::Code::Unavailable { "; is an agent with [rls] running there?" } else { "" };
        format!("{}: {}{hint}", args.rls, e.message())
    })?;
    let answer = answer.into_inner();
    for status in &answer.statuses {
        if status.current_limit.is_none() && status.duration_until_reset.is_none() {
            println!("{} (no limit known)", status.code().as_str_name());
            continue;
        }
        let reset = status.duration_until_reset.map_or(0.0, |d| d.seconds as f64 + f64::from(d.nanos) / 1e9);
        let limit = status.current_limit.as_ref().map_or("no limit".to_string(), |l| {
            format!("limit {} per {}", l.requests_per_unit, l.unit().as_str_name().to_lowercase())
        });
        println!(
            "{} ({limit}, {} remaining, reset in {reset:.1} s)",
            status.code().as_str_name(),
            status.limit_remaining
        );
    }
    for header in &answer.response_headers_to_add {
        println!("  {}: {}", header.key, header.value);
    }
    Ok(if answer.overall_code() == Code::Ok { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REFUSED) })
}

/// Sends a request and prints its answer.
pub async fn request(args: RequestArgs) -> Result<ExitCode, String> {
    let at = args.gatekeeper;
    let connection_error = |e: std::io::Error| format!("{at}: {e}; is a gatekeeper running there?");
    let mut conn = RespConnection::connect(at).await.map_err(connection_error)?;
    let key = client::unique_id();
    let key = (args.class != "formula-read").then_some(key.as_str());
    let wait = Duration::from_millis(args.wait_ms);
    let answer =
        client::send_request(&mut conn, &shop(&args.what), &args.class, key, args.what.units, wait).await;
    match answer.map_err(connection_error)? {
        Answer::Served(value) => {
            println!("served: {}", String::from_utf8_lossy(&value));
            Ok(ExitCode::SUCCESS)
        }
        Answer::Busy(retry_ms) => {
            println!("refused{}", retry_ms.map_or(String::new(), |ms| format!("; come back in {ms} ms")));
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        Answer::Failed(line) => Err(format!("{at}: {line}")),
    }
}
