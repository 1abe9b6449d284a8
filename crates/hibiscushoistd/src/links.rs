//! Opens this host to the other daemons of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use slog::Logger;
use tokio::net::TcpListener;

use crate::daemon;
use crate::daemon::Error;
use crate::peer;
use crate::pool::Pool;
use crate::settings::Peer;
use crate::settings::Role;
use crate::settings::Settings;
use coordination::host;
use coordination::host::Load;
use coordination::host::Profile;
use coordination::membership;
use transport::clock;
use transport::peer_handshake::Identity;
use transport::peer_key::Key;
use transport::peer_key::Keyring;

/// Holds what connects this host with the other daemons.
pub struct Links {
    /// Holds the address that other daemons are told.
    pub address: SocketAddr,
    /// Holds the connections, in a fleet of several hosts.
    pub pool: Option<Pool>,
    listener: Option<(TcpListener, Arc<Identity>)>,
}

impl Links {
    /// Binds the address for other daemons, where the settings name one.
    ///
    /// # Errors
    ///
    /// Returns an error that names an address that cannot be bound.
    pub async fn open(settings: &Settings) -> Result<Self, Report<Error>> {
        let Some(peer) = &settings.peer else {
            return Ok(Self {
                address: SocketAddr::from(([0, 0, 0, 0], 0)),
                listener: None,
                pool: None,
            });
        };
        let listener = daemon::bind(peer.listen).await?;
        let bound = listener.local_addr().unwrap_or(peer.listen);
        let identity = Arc::new(identity(settings, peer));
        Ok(Self {
            address: peer.advertise.unwrap_or(bound),
            pool: Some(Pool::new(identity.clone())),
            listener: Some((listener, identity)),
        })
    }

    /// Returns the options of the failure detector; callers reach this host at `entry`, those of
    /// routed services at `gateway`.
    pub fn membership(
        &self,
        settings: &Settings,
        entry: SocketAddr,
        gateway: Option<SocketAddr>,
    ) -> membership::Options {
        let peer = settings.peer.as_ref();
        membership::Options {
            host: settings.name.clone(),
            profile: Profile {
                domain: settings.failure_domain.clone(),
                draining: false,
                entry: settings.entry.as_ref().map(|_| entry),
                gateway,
                load: Load::default(),
                peer: self.address,
                region: settings.region.clone(),
                roles: settings.roles.iter().copied().map(role).collect(),
            },
            run: clock::wall_millis(),
            seed: rand::random(),
            seeds: peer.map(|peer| peer.seeds.clone()).unwrap_or_default(),
        }
    }

    /// Answers the calls of other daemons from now on.
    pub fn serve(&mut self, service: peer::Service, log: &Logger) {
        if let Some((listener, identity)) = self.listener.take() {
            tokio::spawn(peer::run(listener, identity, service, log.clone()));
        }
    }
}

fn identity(settings: &Settings, peer: &Peer) -> Identity {
    Identity {
        fleet: settings.fleet.clone(),
        host: settings.name.clone(),
        keys: Keyring {
            current: Key::new(peer.key),
            previous: peer.previous_key.map(Key::new),
        },
    }
}

fn role(role: Role) -> host::Role {
    match role {
        Role::Broker => host::Role::Broker,
        Role::Entry => host::Role::Entry,
        Role::Voter => host::Role::Voter,
    }
}
