//! Processes under test. They end when the handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

#[derive(Debug)]
pub struct Process {
    role: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Starts `target/release/hawthorntide ROLE` with the settings, as the deploy file does.
    pub fn spawn(folder: &Path, name: &str, role: &str, settings: &str) -> std::io::Result<Self> {
        let path = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings)?;
        let mut process = Self {
            role: role.to_owned(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        process.start()?;
        Ok(process)
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/hawthorntide")
            .arg(&self.role)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HAWTHORNTIDE_SETTINGS", &self.settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the memory that the process occupies, in kilobytes.
    pub fn memory_kb(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
