//! Checks that balancers and agents serve and stop while nobody reads their log.

use std::io::{PipeReader, PipeWriter, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::json;

/// Time in which the platform expects the answer to a readiness check.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Time after which the platform kills a process that it stops.
const GRACE: Duration = Duration::from_secs(6);
const START_LIMIT: Duration = Duration::from_secs(10);

/// Capacity of a pipe.
const PIPE_BYTES: usize = 64 * 1024;
/// Each leaves a log line of over a hundred bytes, several times as many as a process keeps.
const MALFORMED_MESSAGES: usize = 8_000;

/// Running balancer or agent, killed when dropped.
struct Role {
    child: Child,
    ready: SocketAddr,
    peer: SocketAddr,
    settings: PathBuf,
}

impl Drop for Role {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns an address that no socket uses.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

impl Role {
    /// Starts the role with standard output and standard error at the pipe.
    fn start(role: &str, output: &PipeWriter) -> Self {
        let (ready, peer) = (free_address(), free_address());
        let mut settings = json!({
            "role": role,
            "flows": "opaque",
            "failure_domain": "a",
            "data_address": free_address(),
            "ready_address": ready,
            "peer_address": peer,
            "seed_addresses": [],
            "store_address": free_address(),
            "log": { "format": "json", "output": "stdout", "lines_per_second": 10_000 },
        });
        if role == "balancer" {
            settings["drain_limit_ms"] = json!(1_000);
        } else {
            settings["flow_idle_ms"] = json!(60_000);
            settings["service"] = json!("catalogue");
            settings["upstream_address"] = json!(free_address());
            settings["upstream_output_address"] = json!(free_address());
            settings["heartbeat_address"] = json!(free_address());
            settings["heartbeat_ms"] = json!(1_000);
        }
        let name = format!("log-reader-{}-{}.jsonc", std::process::id(), peer.port());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_hawthorntide"))
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output.try_clone().unwrap())
            .spawn()
            .unwrap();
        Self {
            child,
            ready,
            peer,
            settings: path,
        }
    }

    /// Returns whether a readiness check is answered in time, whatever the answer is.
    fn answers(&self) -> bool {
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        stream.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        matches!(stream.read(&mut [0; 12]), Ok(bytes) if bytes > 0)
    }

    fn wait_until_started(&self) -> bool {
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            if self.answers() {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    fn send_malformed_messages(&self) {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for number in 0..MALFORMED_MESSAGES {
            // The receiver may have closed its socket.
            let _ = socket.send_to(b"malformed", self.peer);
            if number % 50 == 0 {
                sleep(Duration::from_millis(1));
            }
        }
    }

    /// Stops the process; returns its status if it ends before the platform would kill it.
    fn stop(&mut self) -> Option<ExitStatus> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
        let deadline = Instant::now() + GRACE;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            sleep(Duration::from_millis(10));
        }
        None
    }
}

/// Reads until all writers of the pipe have ended.
fn read_all(mut reader: PipeReader) -> String {
    let mut text = Vec::new();
    reader.read_to_end(&mut text).unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

// A process hung in a write of its log while the reader paused: balancers took agents for dead and reset
// their flows, and the platform took balancers out of rotation. What is lost must be reported.
#[gtest]
fn processes_serve_while_the_reader_of_their_log_pauses() {
    for name in ["balancer", "agent"] {
        let (reader, writer) = std::io::pipe().unwrap();
        let mut role = Role::start(name, &writer);
        expect_that!(role.wait_until_started(), eq(true), "{name}");
        role.send_malformed_messages();
        expect_that!(role.answers(), eq(true), "{name}");
        let text = std::thread::spawn(move || read_all(reader));
        // Lets the process write what waits, and report what is lost.
        sleep(Duration::from_millis(500));
        expect_that!(role.stop().map(|it| it.success()), some(eq(true)), "{name}");
        drop(writer);
        let text = text.join().unwrap();
        let notices = text.lines().filter(|line| line.contains("lines were lost"));
        expect_that!(notices.count(), ge(1), "{name}");
    }
}

// A process that started while its log was not read never served, and one that was stopped did not end
// before it was killed.
#[gtest]
fn processes_start_and_stop_while_nobody_reads_their_log() {
    for name in ["balancer", "agent"] {
        let (reader, mut writer) = std::io::pipe().unwrap();
        writer.write_all(&vec![b'\n'; PIPE_BYTES]).unwrap();
        let mut role = Role::start(name, &writer);
        expect_that!(role.wait_until_started(), eq(true), "{name}");
        expect_that!(role.stop().map(|it| it.success()), some(eq(true)), "{name}");
        drop(reader);
    }
}

// When the reader of the log had ended, its agent hung or ended as well.
#[gtest]
fn processes_serve_after_the_reader_of_their_log_has_ended() {
    for name in ["balancer", "agent"] {
        let (reader, writer) = std::io::pipe().unwrap();
        let mut role = Role::start(name, &writer);
        expect_that!(role.wait_until_started(), eq(true), "{name}");
        drop(reader);
        role.send_malformed_messages();
        expect_that!(role.answers(), eq(true), "{name}");
        expect_that!(role.stop().map(|it| it.success()), some(eq(true)), "{name}");
        drop(writer);
    }
}

// A process that cannot start must end although nobody reads why, so that it is started again.
#[gtest]
fn a_process_that_cannot_start_ends_while_nobody_reads_its_log() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    for name in ["balancer", "agent"] {
        let (reader, mut writer) = std::io::pipe().unwrap();
        writer.write_all(&vec![b'\n'; PIPE_BYTES]).unwrap();
        let mut role = Role::start(name, &writer);
        let settings = std::fs::read_to_string(&role.settings).unwrap();
        let address = taken.local_addr().unwrap().to_string();
        let settings = settings.replace(&role.ready.to_string(), &address);
        role.child.kill().unwrap();
        role.child.wait().unwrap();
        std::fs::write(&role.settings, settings).unwrap();
        role.child = Command::new(env!("CARGO_BIN_EXE_hawthorntide"))
            .args([name, "--settings"])
            .arg(&role.settings)
            .stdout(writer.try_clone().unwrap())
            .stderr(writer.try_clone().unwrap())
            .spawn()
            .unwrap();
        let deadline = Instant::now() + START_LIMIT;
        let mut status = None;
        while status.is_none() && Instant::now() < deadline {
            status = role.child.try_wait().unwrap();
            sleep(Duration::from_millis(20));
        }
        expect_that!(status.map(|it| it.success()), some(eq(false)), "{name}");
        drop(reader);
    }
}
