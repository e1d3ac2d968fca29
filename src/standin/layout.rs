//! Settings files of an installation on loopback.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use error_stack::ResultExt;

use crate::{
    config::load_settings, control::log::Identity, prelude::*, schema::settings::Settings,
    util::GroupId,
};

/// Token of the team `demo`.
pub const TEAM_TOKEN: &str = "demo-team-token-0001";

/// Token of the operator `demo`.
pub const OPERATOR_TOKEN: &str = "demo-operator-token-0001";

/// Number of processes of each role.
#[derive(Clone, Copy, Debug)]
pub struct Counts {
    pub controls: usize,
    pub entries: usize,
    pub agents: usize,
}

/// The addresses of one VM.
#[derive(Clone, Copy, Debug)]
pub struct VmAddresses {
    pub local: SocketAddr,
    pub worker: SocketAddr,
    pub executor: SocketAddr,
}

/// Settings files and addresses of an installation.
#[derive(Clone, Debug)]
pub struct Layout {
    pub folder: PathBuf,
    pub control_files: Vec<PathBuf>,
    pub entry_files: Vec<PathBuf>,
    pub agent_files: Vec<PathBuf>,
    pub admins: Vec<SocketAddr>,
    pub callers: Vec<SocketAddr>,
    pub vms: Vec<VmAddresses>,
}

impl Layout {
    /// Writes the settings files and data folders of an installation.
    ///
    /// `control_settings` is appended to the `[control]` section, for example shorter leases.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or no address is free.
    pub fn create(folder: &Path, counts: Counts, control_settings: &str) -> Result<Layout> {
        let links = free_addresses(counts.controls)?;
        let control_list = links.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(", ");
        fs::create_dir_all(folder).change_context_lazy(|| cannot_write(folder))?;
        let teams = folder.join("teams.ini");
        let operators = folder.join("operators.ini");
        write(&teams, &format!("demo = {TEAM_TOKEN}\n"))?;
        write(&operators, &format!("demo = {OPERATOR_TOKEN}\n"))?;
        let mut res = Layout {
            folder: folder.to_owned(),
            control_files: Vec::new(),
            entry_files: Vec::new(),
            agent_files: Vec::new(),
            admins: free_addresses(counts.controls)?,
            callers: free_addresses(counts.entries)?,
            vms: Vec::new(),
        };
        let founders: Vec<_> = links
            .iter()
            .enumerate()
            .map(|(index, it)| Member { id: MemberId(index as u64 + 1), address: *it })
            .collect();
        for (index, link) in links.iter().enumerate() {
            let data = folder.join(format!("control-{}", index + 1));
            let identity = Identity {
                member: MemberId(index as u64 + 1),
                group_id: GroupId { region: 1, group: 1 },
                founders: founders.clone(),
            };
            identity.create(&data)?;
            let text = format!(
                "[process]\nname = control-{n}\nroles = control\nzone = zone-{zone}\n\n[link]\nlisten = {link}\ncontrol = \
                 {control_list}\n\n[control]\nlisten = {admin}\ndata_folder = {data}\noperators_file = \
                 {operators}\n{control_settings}",
                n = index + 1,
                zone = index % 3 + 1,
                admin = res.admins[index],
                data = data.display(),
                operators = operators.display(),
            );
            res.control_files
                .push(write(&folder.join(format!("control-{}.ini", index + 1)), &text)?);
        }
        for (index, link) in free_addresses(counts.entries)?.iter().enumerate() {
            let text = format!(
                "[process]\nname = entry-{n}\nroles = entry\nzone = zone-{zone}\n\n[link]\nlisten = {link}\ncontrol = \
                 {control_list}\n\n[entry]\nlisten = {caller}\nteams_file = {teams}\n",
                n = index + 1,
                zone = index % 3 + 1,
                caller = res.callers[index],
                teams = teams.display(),
            );
            res.entry_files.push(write(&folder.join(format!("entry-{}.ini", index + 1)), &text)?);
        }
        for (index, link) in free_addresses(counts.agents)?.iter().enumerate() {
            let [local, worker, executor] = free_addresses(3)?[..] else { continue };
            res.vms.push(VmAddresses { local, worker, executor });
            let text = format!(
                "[process]\nname = agent-{n}\nroles = agent\nzone = zone-{zone}\nrack = rack-{rack}\n\n[link]\nlisten = \
                 {link}\ncontrol = {control_list}\n\n[agent]\nlisten = {local}\nvm = vm-{n}\nworker = \
                 {worker}\ncpu_millicores = 64000\nmemory_mib = 250000\n",
                n = index + 1,
                zone = index % 3 + 1,
                rack = index / 3 + 1,
            );
            res.agent_files.push(write(&folder.join(format!("agent-{}.ini", index + 1)), &text)?);
        }
        Ok(res)
    }
}

/// Reads a settings file written by [`Layout::create`].
///
/// # Errors
///
/// Returns an error if the settings are invalid.
pub fn read_settings(path: &Path) -> Result<Settings> {
    load_settings(path).map_err(|problems| {
        let text: Vec<_> = problems.iter().map(ToString::to_string).collect();
        Error::report(ErrorKind::BadRequest, text.join("; "))
    })
}

/// Ports below the range for outgoing connections, so that no such connection takes a port after
/// it was chosen and before it is used.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// Returns loopback addresses that were free when checked; each call returns different ones.
///
/// # Errors
///
/// Returns an error if fewer than `count` addresses are free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let width = PORTS.end - PORTS.start;
    let start = std::process::id().wrapping_mul(211);
    let mut res = Vec::new();
    for _ in 0..width {
        if res.len() == count {
            return Ok(res);
        }
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % width;
        let address = SocketAddr::from(([127, 0, 0, 1], (PORTS.start + offset) as u16));
        // Checks by connecting, not by binding: a process forked at this moment would inherit a
        // bound socket and keep it open for a short time.
        if TcpStream::connect(address).is_err() {
            res.push(address);
        }
    }
    Err(Error::report(ErrorKind::Internal, "too few free addresses on loopback"))
}

fn write(path: &Path, text: &str) -> Result<PathBuf> {
    fs::write(path, text).change_context_lazy(|| cannot_write(path))?;
    Ok(path.to_owned())
}

fn cannot_write(path: &Path) -> Error {
    Error::new(ErrorKind::Internal, format_compact!("cannot write {}", path.display()))
}
