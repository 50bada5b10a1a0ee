//! Mutual TLS of the rate limit service's listener, which it requires off loopback. The test uses loopback
//! and certificates that it generates.

use frostvale_proto::envoy::service::ratelimit::v3::rate_limit_service_client::RateLimitServiceClient;
use frostvale_standin::client::{Shop, rate_limit_call};
use frostvale_standin::local_cluster::{ClusterOptions, LocalCluster};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::path::{Path, PathBuf};
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint, Identity};

/// A certificate authority and its certificate in PEM.
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

    /// Issues a certificate for `agent.test` and returns it and its key in PEM.
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

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).expect("written");
    path
}

#[tokio::test(flavor = "multi_thread")]
async fn listener_answers_only_clients_when_their_certificate_is_valid_and_of_its_ca() {
    let (ca, other_ca) = (Ca::new(), Ca::new());
    let folder = std::env::temp_dir().join(format!("frostvale-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (cert, key) = ca.issue(false);
    let cert = write_file(&folder, "agent.pem", &cert);
    let key = write_file(&folder, "agent.key", &key);
    let client_ca = write_file(&folder, "ca.pem", &ca.pem);
    let tls = format!("[rls.tls]\ncert = {cert:?}\nkey = {key:?}\nclient_ca = {client_ca:?}\n");
    let mut cluster =
        LocalCluster::start(ClusterOptions { gatekeepers: 1, rls: tls, ..ClusterOptions::default() })
            .await
            .expect("started");
    let shop = Shop { id: "00000000b4d65521".into(), plan: "tienda".into(), first: 0, spread: 1 };
    let at = cluster.rls;
    let call_rls = |identity: Option<(String, String)>, plain: bool| {
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
    assert!(call_rls(Some(ca.issue(false)), false).await.is_ok());
    assert!(call_rls(None, false).await.is_err(), "answered without a client certificate");
    assert!(
        call_rls(Some(other_ca.issue(false)), false).await.is_err(),
        "answered with a certificate of another CA"
    );
    assert!(call_rls(Some(ca.issue(true)), false).await.is_err(), "answered with an expired certificate");
    assert!(call_rls(None, true).await.is_err(), "answered without TLS");
    assert!(
        call_rls(Some(ca.issue(false)), false).await.is_ok(),
        "a valid client is refused after others were rejected"
    );
    cluster.stop().await;
    std::fs::remove_dir_all(&folder).expect("removed");
}
