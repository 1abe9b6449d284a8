//! Binds the addresses for routed services before the rest of the daemon starts, so that the host
//! announces the addresses that were actually bound.

use std::net::SocketAddr;

use error_stack::Report;
use tokio::net::TcpListener;

use crate::daemon;
use crate::daemon::Error;
use crate::settings::Settings;

/// Listeners for routed services.
#[derive(Debug, Default)]
pub struct Listeners {
    /// Routed requests of callers.
    pub callers: Option<TcpListener>,
    /// Requests of operators, and of callers that look up host addresses.
    pub control: Vec<TcpListener>,
    /// Readiness checks.
    pub readiness: Option<TcpListener>,
}

/// Bound addresses for routed services; a port 0 of the settings is replaced by the real one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BoundAddresses {
    /// Routed requests of callers.
    pub callers: Option<SocketAddr>,
    /// Requests of operators, and of callers that look up host addresses.
    pub control: Vec<SocketAddr>,
    /// Readiness checks.
    pub readiness: Option<SocketAddr>,
}

impl Listeners {
    /// Binds the addresses of the section `[gateway]`.
    ///
    /// # Errors
    ///
    /// Returns an error with the address that cannot be bound.
    pub async fn open(settings: &Settings) -> Result<Self, Report<Error>> {
        let Some(gateway) = &settings.gateway else {
            return Ok(Self::default());
        };
        let mut control = Vec::new();
        for address in &gateway.control {
            control.push(daemon::bind(*address).await?);
        }
        Ok(Self {
            callers: bind_optional(gateway.callers).await?,
            control,
            readiness: bind_optional(gateway.readiness).await?,
        })
    }

    /// Returns the bound addresses.
    pub fn bound(&self) -> BoundAddresses {
        let address = |listener: &TcpListener| listener.local_addr().ok();
        BoundAddresses {
            callers: self.callers.as_ref().and_then(address),
            control: self.control.iter().filter_map(address).collect(),
            readiness: self.readiness.as_ref().and_then(address),
        }
    }
}

/// Binds an address, if there is one.
async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Report<Error>> {
    match address {
        None => Ok(None),
        Some(address) => Ok(Some(daemon::bind(address).await?)),
    }
}
