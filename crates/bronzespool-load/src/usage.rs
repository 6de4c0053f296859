//! Processor time, memory and file output of processes, read from `/proc`.

use {
    serde::Serialize,
    std::{collections::BTreeMap, fs, io, time::Duration},
};

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of its live threads.
    pub cpu_time: Duration,
    /// Time for which its threads were runnable but had no processor.
    pub wait_time: Duration,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Bytes that it wrote to files; bytes sent through sockets are not counted.
    pub file_bytes: u64,
    /// Bytes that the kernel wrote to storage for it, in whole pages.
    pub storage_bytes: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn of(process: u32) -> io::Result<Self> {
        let (mut cpu_time, mut wait_time) = (Duration::ZERO, Duration::ZERO);
        for thread in fs::read_dir(format!("/proc/{process}/task"))? {
            // The thread may have ended since the directory was listed.
            let text = fs::read_to_string(thread?.path().join("schedstat")).unwrap_or_default();
            let mut nanos = text.split_whitespace().filter_map(|t| t.parse().ok());
            cpu_time += Duration::from_nanos(nanos.next().unwrap_or_default());
            wait_time += Duration::from_nanos(nanos.next().unwrap_or_default());
        }
        let status = fs::read_to_string(format!("/proc/{process}/status"))?;
        let io = fs::read_to_string(format!("/proc/{process}/io")).unwrap_or_default();
        let memory_bytes = number_field(&status, "VmRSS:") * 1024;
        let (file_bytes, storage_bytes) =
            (number_field(&io, "wchar:"), number_field(&io, "write_bytes:"));
        Ok(Self { cpu_time, wait_time, memory_bytes, file_bytes, storage_bytes })
    }
}

/// Reads the number after `name` at the start of a line, or 0.
fn number_field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    let number = line.and_then(|l| l.split_whitespace().next()).and_then(|t| t.parse().ok());
    number.unwrap_or_default()
}

/// Usage of processes at one time, by process name.
pub type UsageSample = BTreeMap<String, Usage>;

/// Reads the usage of processes, given by name and process id; those that have ended are left out.
pub fn sample_usage(ids: &[(String, u32)]) -> UsageSample {
    let read = |(name, id): &(String, u32)| Some((name.clone(), Usage::of(*id).ok()?));
    ids.iter().filter_map(read).collect()
}

/// Usage of the processes of one role between two samples.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleUsage {
    /// Name of the role.
    pub role: String,
    /// Number of processes.
    pub count: usize,
    /// Mean processor use of a process, in percent of a core.
    pub cpu_mean: f64,
    /// Largest processor use of a process, in percent of a core.
    pub cpu_max: f64,
    /// Mean share of the time, in percent, in which a process was runnable but had no processor.
    pub wait_mean: f64,
    /// Largest resident memory of a process in MiB.
    pub memory_max: f64,
}

/// Usage by role between two samples taken `duration` apart. The role is the part of the process
/// name before its last dash. Processes that are missing in one sample are left out.
pub fn by_role(before: &UsageSample, after: &UsageSample, duration: Duration) -> Vec<RoleUsage> {
    let mut roles: BTreeMap<&str, RoleUsage> = BTreeMap::new();
    for (name, usage) in after {
        let Some(first) = before.get(name) else {
            continue;
        };
        let role = name.rsplit_once('-').map_or(name.as_str(), |(role, _)| role);
        let share = |part: Duration| part.as_secs_f64() / duration.as_secs_f64() * 100.0;
        let cpu = share(usage.cpu_time.saturating_sub(first.cpu_time));
        let entry = roles.entry(role).or_default();
        role.clone_into(&mut entry.role);
        entry.count += 1;
        entry.cpu_mean += cpu;
        entry.wait_mean += share(usage.wait_time.saturating_sub(first.wait_time));
        entry.cpu_max = entry.cpu_max.max(cpu);
        entry.memory_max = entry.memory_max.max(usage.memory_bytes as f64 / f64::from(1 << 20));
    }
    let mean = |mut r: RoleUsage| {
        r.cpu_mean /= r.count as f64;
        r.wait_mean /= r.count as f64;
        r
    };
    roles.into_values().map(mean).collect()
}

/// Fits a line to points by least squares and returns its slope and offset. `None` without two
/// different `x`.
pub fn fit_line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mx).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
    if points.is_empty() || sum_xx == 0.0 {
        return None;
    }
    let slope = sum_xy / sum_xx;
    Some((slope, my - slope * mx))
}
