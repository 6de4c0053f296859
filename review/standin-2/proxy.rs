//! A proxy in front of a control instance, which can cut one machine off: what its connections carry is
//! held up meanwhile. Connections from before a moment get through later than new ones, as those whose
//! packets are sent again at growing intervals.

use {
    crate::record::Record,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const POLL: Duration = Duration::from_millis(5);
/// Time for which the end of a connection travels behind its last bytes.
const END_DELAY: Duration = Duration::from_millis(500);

/// The cut of one machine from all control instances.
#[derive(Default)]
pub struct Cut {
    /// Since when connections are held up, and which of them get through at the second time only.
    state: Mutex<Times>,
}

#[derive(Clone, Copy, Default)]
struct Times {
    begin: Option<Instant>,
    heal: Option<Instant>,
    /// Connections that were opened before this are old ones.
    old_before: Option<Instant>,
    old_heal: Option<Instant>,
}

impl Cut {
    pub fn begin(&self) {
        self.state.lock().unwrap().begin = Some(Instant::now());
    }

    pub fn mark_old(&self) {
        self.state.lock().unwrap().old_before = Some(Instant::now());
    }

    /// Heals the cut, for old connections after a delay.
    pub fn heal(&self, old_delay: Duration) {
        let mut state = self.state.lock().unwrap();
        (state.heal, state.old_heal) = (Some(Instant::now()), Some(Instant::now() + old_delay));
    }

    fn holds(&self, opened: Instant) -> bool {
        let times = *self.state.lock().unwrap();
        if times.begin.is_none() {
            return false;
        }
        let is_old = times.old_before.is_none_or(|at| opened < at);
        let heal = if is_old { times.old_heal } else { times.heal };
        heal.is_none_or(|at| Instant::now() < at)
    }
}

/// Starts a proxy. Connections that carry `tag` belong to the machine that may be cut off.
pub fn start(listen: SocketAddr, target: SocketAddr, tag: String, cut: Arc<Cut>, record: Record) {
    let listener = TcpListener::bind(listen).expect("a free address");
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(target) else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let (tagged, opened) = (Arc::new(AtomicBool::new(false)), Instant::now());
            let ways = [(client.try_clone(), server.try_clone()), (Ok(server), Ok(client))];
            for (from, to) in ways {
                let (Ok(from), Ok(to)) = (from, to) else { continue };
                let way = Way {
                    opened,
                    tagged: Arc::clone(&tagged),
                    tag: tag.clone(),
                    cut: Arc::clone(&cut),
                    record: record.clone(),
                };
                thread::spawn(move || way.run(from, to));
            }
        }
    });
}

/// One way of a connection.
struct Way {
    opened: Instant,
    tagged: Arc<AtomicBool>,
    tag: String,
    cut: Arc<Cut>,
    record: Record,
}

impl Way {
    fn run(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 65_536];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let bytes = &buffer[..count];
            if bytes.windows(self.tag.len()).any(|w| w == self.tag.as_bytes()) {
                self.tagged.store(true, Ordering::SeqCst);
            }
            let read_at = Instant::now();
            while self.tagged.load(Ordering::SeqCst) && self.cut.holds(self.opened) {
                thread::sleep(POLL);
            }
            if read_at.elapsed() > END_DELAY && count > 0 {
                let held = read_at.elapsed().as_millis();
                self.record.line(&format!("network: {count} bytes get through after {held} ms"));
            }
            if count == 0 {
                thread::sleep(END_DELAY);
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(bytes).is_err() {
                return;
            }
        }
    }
}
