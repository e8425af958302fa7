//! Runs the binaries as child processes, for tests and measurements.

use std::{fmt::Write as _, fs, io, net, path, process};

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
}

impl ChildProcess {
    /// Starts a program.
    ///
    /// # Errors
    ///
    /// Returns [`io::Error`] if the program can't be started. The binaries of the workspace have to
    /// be built first.
    pub fn start(program: &path::Path, arguments: &[String]) -> io::Result<Self> {
        let child = process::Command::new(program)
            .args(arguments)
            .stdout(process::Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process and waits until it has exited, so that its addresses are free again.
    ///
    /// # Errors
    ///
    /// Returns [`io::Error`] if the process can't be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Values of an entry's settings file that differ from process to process.
#[derive(Clone, Debug)]
pub struct EntrySettingsFile {
    /// The index of this entry within `entries`.
    pub index: usize,
    /// The address of every entry, this one included.
    pub entries: Vec<net::SocketAddr>,
    /// The address of the object API.
    pub object_api: net::SocketAddr,
    /// The address of the weight store.
    pub weight_store: net::SocketAddr,
}

impl EntrySettingsFile {
    /// Writes the file into a directory and returns its path.
    ///
    /// # Errors
    ///
    /// Returns [`io::Error`] if the file can't be written.
    pub fn write(&self, directory: &path::Path) -> io::Result<String> {
        let mut text = format!(
            "entry: entry-{}\nlisten: {}\nobject_api: {}\nweight_store: {}\n\
             keep_ms: 2000\nwindow_ms: 30000\njoin_age_ms: 300\nlease_term_ms: 1000\n\
             weights_rate: 64MiB/s\nlog_level: warn\noperators:\n  demo:\n    token: {}\n\
             entries:\n",
            self.index,
            self.entries[self.index],
            self.object_api,
            self.weight_store,
            crate::fleet::OPERATOR_TOKEN
        );
        for (index, address) in self.entries.iter().enumerate() {
            let _ = writeln!(
                text,
                "  entry-{index}:\n    address: {address}\n    failure_domain: domain-{index}"
            );
        }
        write_file(
            directory,
            &format!("entry-{}", self.entries[self.index].ip()),
            &text,
        )
    }
}

/// Values of an agent's settings file that differ from process to process.
#[derive(Clone, Debug)]
pub struct AgentSettingsFile {
    /// The number of the VM, from which its name and failure domain are derived.
    pub index: usize,
    /// The address the agent listens on.
    pub listen: net::SocketAddr,
    /// The address of its engine.
    pub upstream: net::SocketAddr,
    /// The entries to which it sends heartbeats.
    pub entries: Vec<net::SocketAddr>,
    /// The address of the weight store.
    pub weight_store: net::SocketAddr,
}

impl AgentSettingsFile {
    /// Writes the file into a directory and returns its path.
    ///
    /// # Errors
    ///
    /// Returns [`io::Error`] if the file can't be written.
    pub fn write(&self, directory: &path::Path) -> io::Result<String> {
        let mut text = format!(
            "vm: vm-{}\nservice: {}\nfailure_domain: domain-{}\nlisten: {}\nkind: engine\n\
             upstream: {}\nweight_store: {}\nwindow_ms: 30000\nweights_rate: 64MiB/s\n\
             log_level: warn\nentries:\n",
            self.index,
            crate::fleet::MODEL_SERVICE,
            self.index % 3,
            self.listen,
            self.upstream,
            self.weight_store
        );
        for address in &self.entries {
            let _ = writeln!(text, "  - {address}");
        }
        write_file(directory, &format!("agent-{}", self.listen.ip()), &text)
    }
}

fn write_file(directory: &path::Path, name: &str, text: &str) -> io::Result<String> {
    let file = directory.join(format!("{name}.yaml"));
    fs::write(&file, text)?;
    Ok(file.display().to_string())
}
