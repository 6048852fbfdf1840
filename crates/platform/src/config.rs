//! What the platform hands a controller at its start, and again at a SIGHUP.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use mintstall_settings::{Settings, SettingsError, from_json};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::event_bus::Event;

#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{path}: {error}")]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{path}: {error}")]
    Json { path: PathBuf, error: serde_json::Error },
    #[error("{path}: {error}")]
    Settings { path: PathBuf, error: SettingsError },
    #[error("{path}: seed: {seed:?} is no number of up to 16 hex digits")]
    Seed { path: PathBuf, seed: String },
    #[error("{path}: known: no event holds the whole list of exchanges")]
    NoList { path: PathBuf },
    #[error("{path}: limits: {what}")]
    Limits { path: PathBuf, what: &'static str },
}

#[derive(Debug, Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    bus: SocketAddr,
    known: Known,
    settings: Value,
}

#[derive(Debug, Deserialize)]
struct Limits {
    sockets: usize,
}

#[derive(Debug, Deserialize)]
struct Known {
    offset: u64,
    batch: Vec<Event>,
}

/// The least number of descriptors with which a controller can do its work.
const LEAST_SOCKETS: usize = 64;

/// A configuration in which everything was found to be in order.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub bus: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// The events of the start, and the number of the last.
    pub initial_events: Vec<Event>,
    pub last: u64,
    pub settings: Settings,
}

impl Config {
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let error = |error| ConfigError::Unreadable { path: path.into(), error };
        Self::parse(path, &std::fs::read(path).map_err(error)?)
    }

    pub fn parse(path: &Path, octets: &[u8]) -> Result<Self, ConfigError> {
        let at = || path.to_path_buf();
        let file: File =
            serde_json::from_slice(octets).map_err(|error| ConfigError::Json { path: at(), error })?;
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|_| ConfigError::Seed { path: at(), seed: file.seed.clone() })?;
        let settings =
            from_json(&file.settings).map_err(|error| ConfigError::Settings { path: at(), error })?;
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(ConfigError::Limits { path: at(), what: "sockets: fewer than 64" });
        }
        let whole = |event: &Event| event.topology.as_ref().is_some_and(|topology| topology.is_full);
        if !file.known.batch.iter().any(whole) {
            return Err(ConfigError::NoList { path: at() });
        }
        Ok(Self {
            name: file.name,
            listen: file.listen,
            bus: file.bus,
            seed,
            sockets: file.limits.sockets,
            initial_events: file.known.batch,
            last: file.known.offset,
            settings,
        })
    }
}
