//! Processor time and memory of the processes that the harness started.

use {
    serde::Serialize,
    std::{collections::BTreeMap, fs, io, time::Duration},
};

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads.
    pub cpu_time: Duration,
    /// Time for which its threads could run and had no processor.
    pub wait_time: Duration,
    /// Resident memory in bytes.
    pub memory_bytes: u64,
    /// Bytes that it wrote to files; what goes through sockets is not counted.
    pub file_bytes: u64,
    /// Bytes that the system wrote to storage for it, in whole pages.
    pub storage_bytes: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Errors
    ///
    /// If there is no such process.
    pub fn of(process: u32) -> io::Result<Self> {
        let (mut cpu_time, mut wait_time) = (Duration::ZERO, Duration::ZERO);
        for thread in fs::read_dir(format!("/proc/{process}/task"))? {
            // A thread may end while the list is read.
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

fn number_field(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    let number = line.and_then(|l| l.split_whitespace().next()).and_then(|t| t.parse().ok());
    number.unwrap_or_default()
}

/// Usage of all processes at one time, by name.
pub type UsageSample = BTreeMap<String, Usage>;

/// Reads the usage of named processes; those that have ended are left out.
pub fn sample_usage(ids: &[(String, u32)]) -> UsageSample {
    let read = |(name, id): &(String, u32)| Some((name.clone(), Usage::of(*id).ok()?));
    ids.iter().filter_map(read).collect()
}

/// What the processes of one role used between two samples.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RoleUsage {
    /// The role.
    pub role: String,
    /// Processes.
    pub count: usize,
    /// Mean share of a core in percent.
    pub cpu_mean: f64,
    /// Largest share of a core in percent.
    pub cpu_max: f64,
    /// Mean share of the time in percent in which it could run and had no processor.
    pub wait_mean: f64,
    /// Largest resident memory in MiB.
    pub memory_max: f64,
}

/// Compares two samples taken `duration` apart, by role: the part of the name before its last dash.
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

/// Slope and offset of the line through points, by least squares. `None` without two different
/// `x`.
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
