//! One request or call, to try an interface by hand.

use frostvale_proto::envoy::extensions::common::ratelimit::v3::rate_limit_descriptor::Entry;
use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_response::Code;
use frostvale_standin::client::{self, Shop};
use frostvale_standin::resp::{Answer, RespConnection};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// Exit code of what was refused.
const REFUSED: u8 = 5;

/// Whose request, and for how much.
#[derive(clap::Args)]
pub struct ShopArgs {
    /// The shop, 16 hex digits.
    #[arg(long, default_value = "00000000b4d65521")]
    shop: String,
    /// Its plan.
    #[arg(long, default_value = "basico")]
    plan: String,
    /// Units that it takes.
    #[arg(long, default_value_t = 1)]
    units: u32,
    /// The first gatekeeper of the shop's set.
    #[arg(long)]
    first: Option<u32>,
    /// How many gatekeepers the set has.
    #[arg(long)]
    spread: Option<u32>,
}

/// A rate limit call.
#[derive(clap::Args)]
pub struct CheckArgs {
    /// Where the rate limit service listens.
    #[arg(long, default_value = "127.0.0.1:8081")]
    rls: SocketAddr,
    /// The class, for the time that a decision may take.
    #[arg(long)]
    class: Option<String>,
    /// The domain.
    #[arg(long, default_value = "frostvale")]
    domain: String,
    #[command(flatten)]
    what: ShopArgs,
}

/// A request.
#[derive(clap::Args)]
pub struct RequestArgs {
    /// Where the gatekeeper listens.
    #[arg(long)]
    gatekeeper: SocketAddr,
    /// The class. Of the brief's, mix-record carries a key.
    #[arg(long, default_value = "formula-read")]
    class: String,
    /// How long to wait, in ms.
    #[arg(long, default_value_t = 1000)]
    wait_ms: u64,
    #[command(flatten)]
    what: ShopArgs,
}

fn shop(what: &ShopArgs) -> Shop {
    let (first, spread) = (what.first.unwrap_or(0), what.spread.unwrap_or(1));
    Shop { id: what.shop.clone(), plan: what.plan.clone(), first, spread }
}

/// Makes a call and prints what came of it.
pub async fn check(args: CheckArgs) -> Result<ExitCode, String> {
    let set = args.what.first.is_some() || args.what.spread.is_some();
    let mut call = client::rate_limit_call(&shop(&args.what), set, args.what.units);
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
    Ok(if answer.overall_code() == Code::Ok { ExitCode::SUCCESS } else { ExitCode::from(REFUSED) })
}

/// Sends a request and prints what came of it.
pub async fn request(args: RequestArgs) -> Result<ExitCode, String> {
    let at = args.gatekeeper;
    let failed = |e: std::io::Error| format!("{at}: {e}; is a gatekeeper running there?");
    let mut conn = RespConnection::connect(at).await.map_err(failed)?;
    let key = client::unique_id();
    let key = (args.class != "formula-read").then_some(key.as_str());
    let wait = Duration::from_millis(args.wait_ms);
    let answer =
        client::send_request(&mut conn, &shop(&args.what), &args.class, key, args.what.units, wait).await;
    match answer.map_err(failed)? {
        Answer::Served(value) => {
            println!("served: {}", String::from_utf8_lossy(&value));
            Ok(ExitCode::SUCCESS)
        }
        Answer::Busy(back) => {
            println!("refused{}", back.map_or(String::new(), |ms| format!("; come back in {ms} ms")));
            Ok(ExitCode::from(REFUSED))
        }
        Answer::Failed(line) => Err(format!("{at}: {line}")),
    }
}
