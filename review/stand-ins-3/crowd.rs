//! A crowd of callers: many channels to one address, each of which sends the same bytes, stops
//! there and stays open.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Time within which a channel has to open.
const OPEN_LIMIT: Duration = Duration::from_millis(1_500);
/// Channels that are opened without a pause; a listener takes as many at once.
const BATCH: usize = 64;
/// Pause after a batch.
const PAUSE: Duration = Duration::from_millis(10);
/// Channels in a row that may fail to open before the crowd gives up.
const MOST_FAILURES: usize = 3;

/// Open channels of the crowd.
pub struct Crowd {
    bytes: Vec<u8>,
    channels: Vec<(TcpStream, usize)>,
}

impl Crowd {
    /// Opens up to `count` channels.
    pub fn open(address: SocketAddr, count: usize, bytes: Vec<u8>) -> Self {
        let mut channels = Vec::new();
        let mut failures = 0;
        while channels.len() < count && failures < MOST_FAILURES {
            let channel = TcpStream::connect_timeout(&address, OPEN_LIMIT);
            let opened = channel.and_then(|channel| {
                channel.set_nonblocking(true)?;
                Ok(channel)
            });
            match opened {
                Err(_) => failures += 1,
                Ok(channel) => {
                    failures = 0;
                    channels.push((channel, 0));
                    if channels.len().is_multiple_of(BATCH) {
                        thread::sleep(PAUSE);
                    }
                }
            }
        }
        Self { bytes, channels }
    }

    /// Returns the number of channels.
    pub fn len(&self) -> usize {
        self.channels.len()
    }

    /// Sends on for `limit` at most, and returns how many bytes were sent; `ends` stops it early.
    pub fn send(&mut self, limit: Duration, mut ends: impl FnMut() -> bool) -> usize {
        let end = Instant::now() + limit;
        let mut total = 0;
        while Instant::now() < end && !ends() {
            let mut waits = false;
            for (channel, sent) in &mut self.channels {
                if *sent >= self.bytes.len() {
                    continue;
                }
                match channel.write(&self.bytes[*sent..]) {
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => waits = true,
                    Err(_) => *sent = usize::MAX,
                    Ok(count) => {
                        *sent += count;
                        total += count;
                        waits |= *sent < self.bytes.len();
                    }
                }
            }
            if !waits {
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        total
    }
}
