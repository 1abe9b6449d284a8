//! Binds the addresses for routed services before anything of the daemon starts, so that other
//! hosts are told the addresses that were bound.

use std::net::SocketAddr;

use error_stack::Report;
use tokio::net::TcpListener;

use crate::daemon;
use crate::daemon::Error;
use crate::settings::Settings;

/// Holds the listeners for routed services.
#[derive(Debug, Default)]
pub struct Listeners {
    /// Takes the requests of callers.
    pub callers: Option<TcpListener>,
    /// Takes the calls of operators, and of callers that ask where to connect.
    pub control: Vec<TcpListener>,
    /// Takes checks whether the host takes callers.
    pub readiness: Option<TcpListener>,
}

/// Holds the addresses for routed services as they were bound.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BoundAddresses {
    /// Takes the requests of callers.
    pub callers: Option<SocketAddr>,
    /// Takes the calls of operators, and of callers that ask where to connect.
    pub control: Vec<SocketAddr>,
    /// Takes checks whether the host takes callers.
    pub readiness: Option<SocketAddr>,
}

impl Listeners {
    /// Binds what the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error that names an address that cannot be bound.
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

    /// Returns the addresses.
    pub fn bound(&self) -> BoundAddresses {
        let address = |listener: &TcpListener| listener.local_addr().ok();
        BoundAddresses {
            callers: self.callers.as_ref().and_then(address),
            control: self.control.iter().filter_map(address).collect(),
            readiness: self.readiness.as_ref().and_then(address),
        }
    }
}

async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>, Report<Error>> {
    match address {
        None => Ok(None),
        Some(address) => Ok(Some(daemon::bind(address).await?)),
    }
}
