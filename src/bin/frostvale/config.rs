//! What the gatekeeper is told: GW_CONFIG and the variables that stand beside it.

use frostvale::{RawSettings, Settings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::env;
use std::net::SocketAddr;

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

/// The settings alone, for an error that names its place in the file.
#[derive(Deserialize)]
struct SettingsOnly {
    #[serde(rename = "settings")]
    _settings: RawSettings,
}

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

/// All that one gatekeeper is told.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory: usize,
    /// Where notes arrive, if notes are allowed.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Reaches every gatekeeper of the tier at once, where there is such an address.
    pub peers_all: Option<SocketAddr>,
    /// The endpoint list as it was last had, in discovery's form.
    pub known: Option<Box<RawValue>>,
    pub conf: RawSettings,
    pub settings: Settings,
    /// The settings as the file has them, with keys in order.
    text: String,
}

/// Each of the four kinds of thing that traffic fills the memory with, commands half here, commands in hand,
/// answers half here and answers not taken, may have this part of it; what is left is for all else.
const MEMORY_PART: usize = 8;

impl Config {
    /// What one kind of thing may take of the memory.
    pub fn memory_part(&self) -> usize {
        self.memory / MEMORY_PART
    }

    /// The digest of the settings.
    pub fn digest(&self) -> String {
        crate::applied_versions::digest(self.text.as_bytes())
    }

    /// Reads the file that GW_CONFIG names; GW_NAME, GW_LISTEN and GW_DISCOVERY stand over it.
    pub fn read() -> Result<Config, String> {
        Self::load(true)
    }

    /// Reads it once more. By now the file knows better than the environment of the start where discovery is.
    pub fn read_again() -> Result<Config, String> {
        Self::load(false)
    }

    fn load(start: bool) -> Result<Config, String> {
        let path = env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration file".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
        let file: File = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        let conf = read_settings(&text, &file.settings).map_err(|e| format!("{path}: {e}"))?;
        let told = |name: &str, other: String| env::var(name).ok().filter(|v| !v.is_empty()).unwrap_or(other);
        conf.check().map_err(|e| format!("{path}: {e}"))?;
        let settings = conf.settings();
        settings.check().map_err(|e| format!("{path}: {e}"))?;
        // A new start must not draw the lots of the last one, nor those of its peers.
        let seed = u64::from_str_radix(file.seed.trim(), 16).map_err(|e| format!("{path}: seed: {e}"))?;
        let peers = file.peers.iter().map(|p| address("peers", p)).collect::<Result<Vec<_>, _>>()?;
        let peer_listen = (settings.peer_messages && !file.peer_listen.is_empty())
            .then(|| address("peer_listen", &file.peer_listen))
            .transpose()?;
        Ok(Config {
            name: told("GW_NAME", file.name),
            listen: address("listen", &told("GW_LISTEN", file.listen))?,
            discovery: address(
                "discovery",
                &if start { told("GW_DISCOVERY", file.discovery) } else { file.discovery },
            )?,
            seed,
            sockets: file.limits.sockets.clamp(64, 1 << 20),
            memory: file.limits.memory_mb.clamp(32, 1 << 20) << 20,
            peer_listen,
            peers,
            peers_all: (!file.peers_all.is_empty())
                .then(|| address("peers_all", &file.peers_all))
                .transpose()?,
            known: file.known,
            conf,
            settings,
            text: in_order(&file.settings).map_err(|e| format!("{path}: {e}"))?,
        })
    }
}

/// The settings in a file's text. The list of servers beside them is not read for it, unless there is an error to be placed.
fn read_settings(file: &[u8], settings: &RawValue) -> Result<RawSettings, serde_json::Error> {
    serde_json::from_str(settings.get())
        .map_err(|error| serde_json::from_slice::<SettingsOnly>(file).err().unwrap_or(error))
}

/// The settings' text with keys in order and no white space.
fn in_order(settings: &RawValue) -> Result<String, serde_json::Error> {
    let tree: serde_json::Value = serde_json::from_str(settings.get())?;
    Ok(tree.to_string())
}

fn address(what: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what}: {text:?} is not an address and port"))
}
