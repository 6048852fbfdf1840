//! The configuration file that the platform gives a controller at its start and, changed, before a SIGHUP.

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
    #[error("{path}: seed: {seed:?} is not a number of up to 16 hex digits")]
    Seed { path: PathBuf, seed: String },
    #[error("{path}: known: no event holds the full list of exchanges")]
    MissingFullList { path: PathBuf },
    #[error("{path}: limits: {reason}")]
    Limits { path: PathBuf, reason: &'static str },
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
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

#[derive(Debug, Deserialize)]
struct Known {
    offset: u64,
    batch: Vec<Event>,
}

/// The number of descriptors that a controller needs at least.
const MIN_SOCKETS: usize = 64;

/// The memory limit where the platform states none, in MiB.
const DEFAULT_MEMORY_MB: f64 = 64.0;

/// A valid configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub bus: SocketAddr,
    pub seed: u64,
    /// Number of descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may take up.
    pub memory_octets: usize,
    /// Events with the list of exchanges at the start.
    pub initial_events: Vec<Event>,
    /// Offset of the last of these events.
    pub last_offset: u64,
    pub settings: Settings,
}

impl Config {
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let unreadable = |error| ConfigError::Unreadable { path: path.into(), error };
        Self::parse(path, &std::fs::read(path).map_err(unreadable)?)
    }

    pub fn parse(path: &Path, octets: &[u8]) -> Result<Self, ConfigError> {
        let path_buf = || path.to_path_buf();
        let file: File =
            serde_json::from_slice(octets).map_err(|error| ConfigError::Json { path: path_buf(), error })?;
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|_| ConfigError::Seed { path: path_buf(), seed: file.seed.clone() })?;
        let settings =
            from_json(&file.settings).map_err(|error| ConfigError::Settings { path: path_buf(), error })?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::Limits { path: path_buf(), reason: "sockets: fewer than 64" });
        }
        if file.limits.memory_mb <= 0.0 {
            return Err(ConfigError::Limits { path: path_buf(), reason: "memory_mb: not above 0" });
        }
        let is_full = |event: &Event| event.topology.as_ref().is_some_and(|topology| topology.is_full);
        if !file.known.batch.iter().any(is_full) {
            return Err(ConfigError::MissingFullList { path: path_buf() });
        }
        Ok(Self {
            name: file.name,
            listen: file.listen,
            bus: file.bus,
            seed,
            sockets: file.limits.sockets,
            memory_octets: (file.limits.memory_mb * f64::from(1 << 20)) as usize,
            initial_events: file.known.batch,
            last_offset: file.known.offset,
            settings,
        })
    }
}
