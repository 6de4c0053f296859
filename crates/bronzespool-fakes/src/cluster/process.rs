//! Starting, signalling and ending of processes, and free addresses for them.

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

/// Path of a program that the build has put into the folder of the running program or up to two
/// folders above it.
///
/// # Panics
///
/// If the program does not exist: build the whole workspace first.
pub fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the running program has a path");
    let path = current.ancestors().skip(1).take(3).map(|f| f.join(name)).find(|p| p.is_file());
    path.unwrap_or_else(|| panic!("{name} is not built: run cargo build --workspace --bins"))
}

/// Smallest port given out.
const PORT_MIN: u32 = 10_000;
/// Number of ports given out. The range ends below the ephemeral ports, since an outgoing
/// connection could otherwise take a port before its process has bound it.
const PORT_COUNT: u32 = 20_000;
/// Distance between the first ports of two test processes with consecutive process ids.
const PORT_STRIDE: u32 = 97;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// An unused address on the loopback interface. A process gets each address at most once, until all
/// ports of the range have been tried.
///
/// # Panics
///
/// If no port of the range is free.
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

/// Sends a signal to a process of a cluster by its id. The operating system does not reuse the id
/// before the cluster has waited for the process.
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
    /// Starts `program` with its output appended to `log`.
    pub fn start(program: &Path, arguments: &[String], log: &Path) -> io::Result<Self> {
        let child = spawn(program, arguments, log)?;
        Ok(Self {
            program: program.to_owned(),
            arguments: arguments.to_vec(),
            log: log.to_owned(),
            child,
        })
    }

    /// Starts the process again, with the same arguments and log, after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.arguments, &self.log)?;
        Ok(())
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal unless the process has ended.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.ended()?.is_some() {
            return Ok(());
        }
        send_signal(self.child.id(), signal)
    }

    /// Exit status, if the process has ended.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Kills the process and waits for its end.
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
