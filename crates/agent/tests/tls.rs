//! A listener off loopback wants mutual TLS. Here over loopback, with certificates made for the test.

use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use frostvale_standin::client::{Shop, rate_limit_call};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::{Path, PathBuf};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

struct Ca {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

impl Ca {
    fn new() -> Ca {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("sound");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key).expect("signed").pem();
        Ca { issuer: Issuer::new(params, key), pem }
    }

    /// A certificate and its key.
    fn issue(&self, expired: bool) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec!["agent.test".to_string()]).expect("sound");
        if expired {
            params.not_before = rcgen::date_time_ymd(2020, 1, 1);
            params.not_after = rcgen::date_time_ymd(2020, 1, 2);
        }
        let cert = params.signed_by(&key, &self.issuer).expect("signed");
        (cert.pem(), key.serialize_pem())
    }
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn only_clients_with_a_certificate_of_the_ca_are_answered() {
    let (ca, stranger) = (Ca::new(), Ca::new());
    let folder = std::env::temp_dir().join(format!("frostvale-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (cert, key) = ca.issue(false);
    let cert = write(&folder, "agent.pem", &cert);
    let key = write(&folder, "agent.key", &key);
    let client_ca = write(&folder, "ca.pem", &ca.pem);
    let tls = format!("[rls.tls]\ncert = {cert:?}\nkey = {key:?}\nclient_ca = {client_ca:?}\n");
    let mut town =
        LocalCluster::start(ClusterOptions { gatekeepers: 1, rls: tls, ..ClusterOptions::default() })
            .await
            .expect("started");
    let shop = Shop { id: "00000000b4d65521".into(), plan: "tienda".into(), first: 0, spread: 1 };
    let at = town.rls;
    let ask = |identity: Option<(String, String)>, plain: bool| {
        let (shop, ca) = (shop.clone(), ca.pem.clone());
        async move {
            let scheme = if plain { "http" } else { "https" };
            let endpoint = Endpoint::from_shared(format!("{scheme}://{at}")).expect("an address");
            let mut tls =
                ClientTlsConfig::new().ca_certificate(Certificate::from_pem(ca)).domain_name("agent.test");
            if let Some((cert, key)) = identity {
                tls = tls.identity(Identity::from_pem(cert, key));
            }
            let endpoint = if plain { endpoint } else { endpoint.tls_config(tls).expect("sound") };
            let channel: Channel = endpoint.connect_lazy();
            RateLimitServiceClient::new(channel).should_rate_limit(rate_limit_call(&shop, true, 1)).await
        }
    };
    assert!(ask(Some(ca.issue(false)), false).await.is_ok());
    assert!(ask(None, false).await.is_err(), "no certificate");
    assert!(ask(Some(stranger.issue(false)), false).await.is_err(), "another CA's");
    assert!(ask(Some(ca.issue(true)), false).await.is_err(), "an expired one");
    assert!(ask(None, true).await.is_err(), "no TLS at all");
    assert!(ask(Some(ca.issue(false)), false).await.is_ok(), "and the others are answered as before");
    town.stop().await;
    std::fs::remove_dir_all(&folder).expect("removed");
}
