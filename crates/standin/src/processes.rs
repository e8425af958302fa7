//! The separate binaries as processes, for tests and measurements.

use std::{fmt::Write as _, fs, io, net, path, process};

/// A child that is ended when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
}

impl ChildProcess {
    /// Starts a program that stands beside this one.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where the program is not there; build the workspace first.
    pub fn start(program: &path::Path, arguments: &[String]) -> io::Result<Self> {
        let child = process::Command::new(program)
            .args(arguments)
            .stdout(process::Stdio::null())
            .spawn()?;
        Ok(Self { child })
    }

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, and waits until its addresses are free.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where it can't be ended.
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

/// What an entry's settings file says beside its defaults.
#[derive(Clone, Debug)]
pub struct EntrySettingsFile {
    /// Its number.
    pub index: usize,
    /// Where each entry listens.
    pub entries: Vec<net::SocketAddr>,
    /// The object API.
    pub object_api: net::SocketAddr,
    /// The weight store.
    pub weight_store: net::SocketAddr,
}

impl EntrySettingsFile {
    /// Writes the file into a folder and returns its path.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where it can't be written.
    pub fn write(&self, folder: &path::Path) -> io::Result<String> {
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
            folder,
            &format!("entry-{}", self.entries[self.index].ip()),
            &text,
        )
    }
}

/// What an agent's settings file says beside its defaults.
#[derive(Clone, Debug)]
pub struct AgentSettingsFile {
    /// Its number.
    pub index: usize,
    /// Where it listens.
    pub listen: net::SocketAddr,
    /// Its engine.
    pub upstream: net::SocketAddr,
    /// The entries that get heartbeats.
    pub entries: Vec<net::SocketAddr>,
    /// The weight store.
    pub weight_store: net::SocketAddr,
}

impl AgentSettingsFile {
    /// Writes the file into a folder and returns its path.
    ///
    /// # Errors
    ///
    /// [`io::Error`] where it can't be written.
    pub fn write(&self, folder: &path::Path) -> io::Result<String> {
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
        write_file(folder, &format!("agent-{}", self.listen.ip()), &text)
    }
}

fn write_file(folder: &path::Path, name: &str, text: &str) -> io::Result<String> {
    let file = folder.join(format!("{name}.yaml"));
    fs::write(&file, text)?;
    Ok(file.display().to_string())
}
