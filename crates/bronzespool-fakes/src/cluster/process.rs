//! One process and its signals.

use {
    rustix::process::{Pid, kill_process},
    std::{
        fs::File,
        io,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU32, Ordering},
    },
};

pub use rustix::process::Signal;

/// A program beside the one that runs, as the build puts them into one folder.
///
/// # Panics
///
/// If it is not there: build the whole workspace first.
pub fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the running program has a path");
    let path = current.ancestors().skip(1).take(3).map(|f| f.join(name)).find(|p| p.is_file());
    path.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace --bins"))
}

/// First port given out.
const PORT_MIN: u32 = 10_000;
/// Ports given out; they end below those that systems take for outgoing connections, one of which
/// could otherwise take a port before its process has bound it.
const PORT_COUNT: u32 = 20_000;
/// Distance of the first ports of two test processes with neighbouring ids.
const PORT_STRIDE: u32 = 97;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An address on the loopback interface that nothing listens on now. No address is given out twice
/// by one process.
///
/// # Panics
///
/// If the machine has no free port.
pub fn free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in 0..PORT_COUNT {
        let number = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = u16::try_from(PORT_MIN + number % PORT_COUNT).expect("ports fit their range");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// Sends a signal to a process of a cluster by its id, which is not reused before the cluster has
/// waited for the process.
pub fn send_signal(id: u32, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(id).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or_else(|| io::Error::other("no process id"))?;
    kill_process(pid, signal)?;
    Ok(())
}

/// A started process; it is killed when dropped.
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts `program` with its standard error appended to `log`.
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<Self> {
        let child = spawn(program, arguments, log)?;
        Ok(Self {
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log: log.to_owned(),
            child,
        })
    }

    /// Starts it again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, if the process still runs.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.ended()?.is_some() {
            return Ok(());
        }
        send_signal(self.child.id(), signal)
    }

    /// Exit status, if it has ended.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) -> io::Result<()> {
        self.signal(Signal::KILL)?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn spawn(program: &Path, arguments: &[String], log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
