//! Processes under test. They end when the handle is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

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

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes two integers; the child is not waited for yet, so its id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the end of the process; kills it after `limit`. Returns whether it ended by itself.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if !self.is_running() {
                self.kill();
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
