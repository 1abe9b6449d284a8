//! A request that crashes each worker that begins to run it, and comes again.

use std::io;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::platform;
use crate::platform::Operator;
use crate::record::Record;
use crate::web;
use crate::web::Message;

/// Time for which a worker is down after a crash.
const DOWN: Duration = Duration::from_secs(2);
/// Time between two tries of the caller, and how often it tries.
const PAUSE: Duration = Duration::from_secs(1);
const TRIES: usize = 40;
/// `contact_ms` of the pages.
const CONTACT: Duration = Duration::from_secs(3);
/// Time that a worker takes for a sound request.
const WORK: Duration = Duration::from_millis(50);
/// Callers who send orders meanwhile, each with a pause between two of them.
const CALLERS: usize = 6;
const ORDER_PAUSE: Duration = Duration::from_millis(100);
/// Retries that may reach workers once three have crashed and `contact_ms` has passed.
const ALLOWED: usize = 3;

/// Tries of the request that began to run, with the time of each; every one crashed its worker.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

/// A worker that crashes when it begins to run a request for `/read/deadly`.
#[derive(Clone)]
struct Worker {
    id: String,
    record: Record,
    runs: Runs,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    crashed: bool,
    open: Vec<TcpStream>,
}

impl Worker {
    fn serve(self, address: SocketAddr) -> io::Result<()> {
        let mut listener = Some(listen(address)?);
        thread::spawn(move || {
            loop {
                let crashed = self.state.lock().is_ok_and(|state| state.crashed);
                if crashed {
                    // Closed before the pause, so that connections are refused meanwhile.
                    listener = None;
                    thread::sleep(DOWN);
                    listener = listen(address).ok().or(listener);
                    if let Ok(mut state) = self.state.lock() {
                        state.crashed = false;
                    }
                    self.record.line(format!("{} is back", self.id));
                }
                match listener.as_ref().map(TcpListener::accept) {
                    Some(Ok((stream, _))) => self.accept(stream),
                    Some(Err(_)) | None => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(())
    }

    fn accept(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let (Ok(mut state), Ok(kept)) = (self.state.lock(), stream.try_clone()) {
            state.open.push(kept);
        }
        let worker = self.clone();
        thread::spawn(move || {
            let mut stream = stream;
            let mut buffer = Vec::new();
            while let Some(request) = web::read_request(&mut stream, &mut buffer) {
                let id = request.header("x-request-id").unwrap_or_default();
                if request.path() == "/read/deadly" {
                    return worker.crash(id);
                }
                thread::sleep(WORK);
                let headers = [("x-request-id", id), ("x-server-stamp", "stamp")];
                let answer = web::encode_answer("200 OK", &headers, b"answer\n");
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        });
    }

    fn crash(&self, id: &str) {
        self.record
            .line(format!("{} begins to run {id} and crashes", self.id));
        if let Ok(mut runs) = self.runs.lock() {
            runs.push((Instant::now(), id.to_owned()));
        }
        if let Ok(mut state) = self.state.lock() {
            state.crashed = true;
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Sends a request again and again that crashes its worker each time; without trouble it is one
/// that does not.
pub fn deadly_request(folder: PathBuf, record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(folder, 3, 2)?;
    let runs = Runs::default();
    let mut entries = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        let address = fleet.outside(210 + number, 9000);
        entries.push(platform::entry(&id, "desk", address, 6, ""));
        let worker = Worker {
            id,
            record: record.clone(),
            runs: runs.clone(),
            state: Arc::default(),
        };
        worker.serve(address)?;
    }
    platform::serve_list(fleet.outside(200, 8784), entries)?;
    for number in 0..fleet.machines.len() {
        fleet.start(number, true)?;
    }
    let mut operator = Operator::new(record.clone());
    let limit = Duration::from_secs(20);
    if !operator.replace(&fleet, 1, &configuration(), limit)
        || !platform::wait_until_ready(&fleet, record, limit)
    {
        return Err(io::Error::other("the fleet does not start"));
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let front = fleet.gateways()[number % 2].front();
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || send_orders(number, front, &record, &stop))
        })
        .collect();
    let path = if trouble {
        "/read/deadly"
    } else {
        "/read/sound"
    };
    let mut served = 0;
    for number in 0..TRIES {
        let id = format!("q-{number}");
        let headers = [
            ("host", "h.example"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "1000"),
            ("authorization", "Bearer key-1"),
        ];
        let gateways = fleet.gateways();
        let front = gateways[number % gateways.len()].front();
        let answer = web::call(front, "GET", path, &headers, &[], PAUSE);
        record.line(format!("{id}: {}", platform::told(&answer)));
        served += u32::from(answer.is_ok_and(|message| message.status() == 200));
        thread::sleep(PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    let lost: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap_or_default())
        .sum();
    let runs = runs.lock();
    let runs = runs.map_err(|_| io::Error::other("a worker failed"))?;
    let from = runs.get(2).map(|(third, _)| *third + CONTACT);
    let late = from.map_or(0, |from| {
        let late = runs.iter().filter(|(at, _)| *at > from);
        let mut ids: Vec<&str> = late.map(|(_, id)| id.as_str()).collect();
        ids.dedup();
        ids.len()
    });
    record.line(format!(
        "served: {served}; crashes: {}; orders of others that were cut: {lost}; retries that \
         reached workers later than contact_ms after the third crash: {late}, allowed: {ALLOWED}",
        runs.len()
    ));
    Ok(late <= ALLOWED)
}

/// Sends orders until told to stop; returns how many were cut after they may have run.
fn send_orders(number: usize, front: SocketAddr, record: &Record, stop: &AtomicBool) -> usize {
    let mut lost = 0;
    let mut sent = 0;
    while !stop.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("o-{number}-{sent}");
        let headers = [
            ("host", "h.example"),
            ("x-request-id", id.as_str()),
            ("x-deadline-ms", "1000"),
            ("authorization", "Bearer key-1"),
        ];
        let limit = Duration::from_millis(1_200);
        let answer = web::call(front, "POST", "/order/a", &headers, b"one hold", limit);
        let status = answer.as_ref().map_or(0, Message::status);
        // 503 says that the order has not run, and it may be sent again.
        if status != 200 && status != 503 {
            lost += 1;
            record.line(format!("order {id}: {}", platform::told(&answer)));
        }
        thread::sleep(ORDER_PAUSE);
    }
    lost
}

fn configuration() -> String {
    include_str!("tables/two_routes.json").to_owned()
}
