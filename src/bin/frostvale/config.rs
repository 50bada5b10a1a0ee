//! The gatekeeper's main configuration: the JSON file that GW_CONFIG names, and the environment variables
//! that override parts of it.

use frostvale::{RawSettings, Settings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::env;
use std::net::SocketAddr;

/// The configuration file. [`Config`] describes the values.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    peer_listen: String,
    #[serde(default)]
    peers: Vec<String>,
    #[serde(default)]
    peers_all: String,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

/// Only the settings of the file. Parsed for an error message that has the line and column in the whole file.
#[derive(Deserialize)]
struct SettingsOnly {
    #[serde(rename = "settings")]
    _settings: RawSettings,
}

/// Resource limits of the process: file descriptors, and memory in MiB.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The checked configuration of one gatekeeper.
pub struct Config {
    /// The gatekeeper's name, from the file's `name` or GW_NAME.
    pub name: String,
    /// Address of the clients' listener, from the file's `listen` or GW_LISTEN.
    pub listen: SocketAddr,
    /// Address of the discovery agent, from the file's `discovery` or, at the start of the process,
    /// GW_DISCOVERY.
    pub discovery: SocketAddr,
    /// Seed of all random draws, from the file's hexadecimal `seed`.
    pub seed: u64,
    /// Limit of open file descriptors, 64 to 2^20.
    pub sockets: usize,
    /// Memory limit in bytes, 32 MiB to 2^40 bytes.
    pub memory_bytes: usize,
    /// Address on which peer messages are received, if the settings allow them.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peer gatekeepers.
    pub peers: Vec<SocketAddr>,
    /// An address that reaches every gatekeeper of the tier at once, where there is one.
    pub peers_all: Option<SocketAddr>,
    /// The last known endpoint list, in the format of discovery.
    pub known: Option<Box<RawValue>>,
    /// The settings as parsed from the file.
    pub conf: RawSettings,
    /// The settings in the form that the decision module uses.
    pub settings: Settings,
    /// The file's settings as JSON with sorted keys and no white space: the input of the digest.
    settings_json: String,
}

/// Divisor of the memory limit that gives the budget of each of the four kinds of buffers that traffic fills:
/// incomplete commands, commands in flight, incomplete replies of workers, and answers that clients have not
/// read. The remaining half is for everything else.
const MEMORY_BUDGET_DIVISOR: usize = 8;

impl Config {
    /// The memory budget of one kind of buffer, in bytes.
    pub fn memory_budget(&self) -> usize {
        self.memory_bytes / MEMORY_BUDGET_DIVISOR
    }

    /// The digest of the settings.
    pub fn digest(&self) -> String {
        crate::applied_versions::digest(self.settings_json.as_bytes())
    }

    /// Reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_DISCOVERY override its values.
    pub fn read() -> Result<Config, String> {
        Self::load(true)
    }

    /// Reads the file again for a reload. GW_DISCOVERY is ignored then: the file is more recent than the
    /// environment of the start.
    pub fn reload() -> Result<Config, String> {
        Self::load(false)
    }

    fn load(at_start: bool) -> Result<Config, String> {
        let path =
            env::var("GW_CONFIG").map_err(|_| "GW_CONFIG must name the configuration file".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let file: File = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        let conf = read_settings(&text, &file.settings).map_err(|e| format!("{path}: {e}"))?;
        let env_or =
            |name: &str, default: String| env::var(name).ok().filter(|v| !v.is_empty()).unwrap_or(default);
        conf.check().map_err(|e| format!("{path}: {e}"))?;
        let settings = conf.settings();
        settings.check().map_err(|e| format!("{path}: {e}"))?;
        // The seed differs between starts and between peers, so that none repeats the random choices of
        // another.
        let seed = u64::from_str_radix(file.seed.trim(), 16).map_err(|e| format!("{path}: seed: {e}"))?;
        let peers = file.peers.iter().map(|p| address("peers", p)).collect::<Result<Vec<_>, _>>()?;
        let peer_listen = (settings.peer_messages && !file.peer_listen.is_empty())
            .then(|| address("peer_listen", &file.peer_listen))
            .transpose()?;
        Ok(Config {
            name: env_or("GW_NAME", file.name),
            listen: address("listen", &env_or("GW_LISTEN", file.listen))?,
            discovery: address(
                "discovery",
                &if at_start { env_or("GW_DISCOVERY", file.discovery) } else { file.discovery },
            )?,
            seed,
            sockets: file.limits.sockets.clamp(64, 1 << 20),
            memory_bytes: file.limits.memory_mb.clamp(32, 1 << 20) << 20,
            peer_listen,
            peers,
            peers_all: (!file.peers_all.is_empty())
                .then(|| address("peers_all", &file.peers_all))
                .transpose()?,
            known: file.known,
            conf,
            settings,
            settings_json: canonical_json(&file.settings).map_err(|e| format!("{path}: {e}"))?,
        })
    }
}

/// Parses the settings. The whole file, with its list of servers, is parsed again only to find the position
/// of an error.
fn read_settings(file: &[u8], settings: &RawValue) -> Result<RawSettings, serde_json::Error> {
    serde_json::from_str(settings.get())
        .map_err(|error| serde_json::from_slice::<SettingsOnly>(file).err().unwrap_or(error))
}

/// Returns the settings as JSON with sorted keys and no white space.
fn canonical_json(settings: &RawValue) -> Result<String, serde_json::Error> {
    let tree: serde_json::Value = serde_json::from_str(settings.get())?;
    Ok(tree.to_string())
}

/// Parses the address and port of the file's key `key`.
fn address(key: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{key}: {text:?} is not an address and port"))
}
