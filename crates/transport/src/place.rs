//! Places for the connections of one address. While none is free, the connection with the least
//! claim yields its place to a new one.

use std::collections::HashMap;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::clock::Clock;
use coordination::door::connections;
use coordination::door::connections::Connection;
use coordination::door::connections::Event;

/// Time after which another connection is asked to yield, if no place has become free.
const YIELD_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The places of one address.
#[derive(Debug)]
pub struct Places {
    clock: Clock,
    free: Arc<Semaphore>,
    taken: Mutex<Taken>,
}

#[derive(Debug, Default)]
struct Taken {
    next: u64,
    records: HashMap<u64, Arc<Record>>,
}

/// What is known of the connection at one place.
#[derive(Debug)]
struct Record {
    clock: Clock,
    connection: Mutex<Connection>,
    yields: Notify,
}

/// The place of one connection, which is free again when this is dropped.
#[derive(Debug)]
pub struct Place {
    number: u64,
    places: Arc<Places>,
    record: Arc<Record>,
    _permit: OwnedSemaphorePermit,
}

/// Records what happens on a connection.
#[derive(Clone, Debug)]
pub struct Recorder(Arc<Record>);

impl Places {
    /// Returns `count` free places.
    pub fn new(count: usize) -> Self {
        Self {
            clock: Clock::default(),
            free: Arc::new(Semaphore::new(count)),
            taken: Mutex::default(),
        }
    }

    /// Returns whether no place is free.
    pub fn is_full(&self) -> bool {
        self.free.available_permits() == 0
    }

    /// Takes a place for a new connection; waits for one, and has others yield.
    pub async fn take(self: &Arc<Self>) -> Place {
        loop {
            let free = Arc::clone(&self.free);
            if let Ok(permit) = free.clone().try_acquire_owned() {
                return self.place(permit);
            }
            self.displace();
            if let Ok(Ok(permit)) = timeout(YIELD_RETRY_DELAY, free.acquire_owned()).await {
                return self.place(permit);
            }
        }
    }

    fn place(self: &Arc<Self>, permit: OwnedSemaphorePermit) -> Place {
        let record = Arc::new(Record {
            clock: self.clock,
            connection: Mutex::new(Connection::open(self.clock.now())),
            yields: Notify::new(),
        });
        let mut taken = self.taken();
        let number = taken.next;
        taken.next += 1;
        taken.records.insert(number, record.clone());
        drop(taken);
        Place {
            number,
            places: self.clone(),
            record,
            _permit: permit,
        }
    }

    /// Asks the connection with the least claim to yield.
    fn displace(&self) {
        let taken = self.taken();
        let open = taken.records.values();
        let open = open.map(|record| (record, *record.connection()));
        if let Some(record) = connections::yielding(self.clock.now(), open) {
            record.yields.notify_one();
        }
    }

    fn taken(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Place {
    /// Returns what records the events of the connection.
    pub fn recorder(&self) -> Recorder {
        Recorder(self.record.clone())
    }

    /// Completes when the connection has to yield.
    pub async fn yields(&self) {
        loop {
            self.record.yields.notified().await;
            let connection = *self.record.connection();
            // A request may have come since the connection was chosen.
            if connection.weakness(self.places.clock.now()).is_some() {
                return;
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.taken().records.remove(&self.number);
    }
}

impl Record {
    fn connection(&self) -> MutexGuard<'_, Connection> {
        let connection = self.connection.lock();
        connection.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Recorder {
    /// Records an event.
    pub fn record(&self, event: Event) {
        let now = self.0.clock.now();
        self.0.connection().step(now, event);
    }
}

/// Records [`Event::Answered`] when it is dropped with the body of an answer.
#[derive(Debug)]
pub struct AnswerGuard(pub Recorder);

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.record(Event::Answered);
    }
}

/// A stream whose reads and writes are recorded.
#[derive(Debug)]
pub struct RecordedStream<S> {
    recorder: Recorder,
    stream: S,
}

impl<S> RecordedStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, recorder: Recorder) -> Self {
        Self { recorder, stream }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Pending => self.recorder.record(Event::Blocked),
            Poll::Ready(Ok(count)) => self.recorder.record(Event::Sent(*count)),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RecordedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.recorder.record(Event::Received);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RecordedStream<S> {
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.recorder.record(Event::Flushed);
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }
}
