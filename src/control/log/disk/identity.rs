//! Identity of a data folder.

use std::path::Path;

use error_stack::ResultExt;
use ini::Ini;

use crate::{
    control::log::disk::storage::{DataFolder, Storage, io_error, replace_file},
    prelude::*,
    util::GroupId,
};

const FILE_NAME: &str = "identity";

const IDENTITY_FORMAT: u32 = 1;

/// Identities of members that join; those derived from the addresses of founders are higher.
const JOINER_IDS: std::ops::Range<u64> = 1 << 20..1 << 52;

/// Derives a founder's identity from its address, so that all founders compute the same one.
fn founder_id(address: std::net::SocketAddr) -> MemberId {
    let digest = crate::util::digest_of(&[address.to_string().as_bytes()]);
    MemberId((1 << 52) | (digest & ((1 << 52) - 1)))
}

/// Identity of a disk, written once when its data folder is created.
///
/// The replacement of a lost disk gets a new identity: the votes and acknowledgements of the old one
/// are gone, and a member without them must not be mistaken for the old member.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub member: MemberId,
    pub group_id: GroupId,
    /// Founding members; empty for a member that joins a running group.
    pub founders: Vec<Member>,
}

impl Identity {
    /// Creates a data folder with this identity.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder already has an identity or cannot be written.
    pub fn create(&self, folder: &Path) -> Result<()> {
        if folder.join(FILE_NAME).exists() {
            let message =
                format_compact!("data folder {} already has an identity", folder.display());
            return Err(Error::report(ErrorKind::BadRequest, message));
        }
        std::fs::create_dir_all(folder).change_context_lazy(|| io_error("make", folder))?;
        self.write(&DataFolder::unlocked(folder))
    }

    /// Writes the identity to a data folder that has none.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write<S: Storage>(&self, storage: &S) -> Result<()> {
        let founders: Vec<_> =
            self.founders.iter().map(|it| format!("{}@{}", it.id.0, it.address)).collect();
        let mut file = Ini::new();
        file.with_section(Some("identity"))
            .set("format", IDENTITY_FORMAT.to_string())
            .set("member", self.member.0.to_string())
            .set("region", self.group_id.region.to_string())
            .set("group", self.group_id.group.to_string())
            .set("founders", founders.join(","));
        let mut text = Vec::new();
        let path = storage.path(FILE_NAME);
        file.write_to(&mut text).change_context_lazy(|| io_error("write", &path))?;
        replace_file(storage, FILE_NAME, &text)
    }

    /// Reads the identity of a data folder, or creates one if the folder has none.
    ///
    /// If `own` is among the `founders`, the process founds the group with them, under an identity
    /// derived from its address. Otherwise it gets a random identity and joins the group.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder cannot be read or written.
    pub fn read_or_create(
        folder: &Path,
        group_id: GroupId,
        own: std::net::SocketAddr,
        founders: &[std::net::SocketAddr],
    ) -> Result<Identity> {
        if folder.join(FILE_NAME).exists() {
            return Identity::read(folder);
        }
        let member_of = |it: &std::net::SocketAddr| Member { id: founder_id(*it), address: *it };
        let identity = match founders.contains(&own) {
            true => {
                let founders = founders.iter().map(member_of).collect();
                Identity { member: founder_id(own), group_id, founders }
            }
            false => {
                let member = MemberId(fastrand::u64(JOINER_IDS));
                Identity { member, group_id, founders: Vec::new() }
            }
        };
        identity.create(folder)?;
        Ok(identity)
    }

    /// Reads the identity of a data folder.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none, its format is not supported, or a value is invalid.
    pub fn read(folder: &Path) -> Result<Identity> {
        Identity::read_from(&DataFolder::unlocked(folder))
    }

    /// Reads the identity from the files of a data folder.
    ///
    /// # Errors
    ///
    /// As [`Identity::read`].
    pub fn read_from<S: Storage>(storage: &S) -> Result<Identity> {
        let path = storage.path(FILE_NAME);
        let data = storage.read(FILE_NAME).change_context_lazy(|| {
            let folder = storage.folder().display();
            let message =
                format_compact!("data folder {folder} has no identity: run aspenrail init");
            Error::new(ErrorKind::BadRequest, message)
        })?;
        let text = String::from_utf8_lossy(&data);
        let file = Ini::load_from_str(&text).change_context_lazy(|| io_error("read", &path))?;
        let value = |key: &str| -> Result<&str> {
            file.get_from(Some("identity"), key)
                .ok_or_else(|| invalid_identity(&path, key, "missing"))
        };
        let number = |key: &str| -> Result<u64> {
            let text = value(key)?;
            text.parse().map_err(|_| invalid_identity(&path, key, text))
        };
        if number("format")? != u64::from(IDENTITY_FORMAT) {
            return Err(invalid_identity(&path, "format", value("format")?));
        }
        let mut founders = Vec::new();
        for founder in value("founders")?.split(',').filter(|it| !it.is_empty()) {
            let (id, address) = founder
                .split_once('@')
                .ok_or_else(|| invalid_identity(&path, "founders", founder))?;
            let id = id.parse().map_err(|_| invalid_identity(&path, "founders", founder))?;
            let address =
                address.parse().map_err(|_| invalid_identity(&path, "founders", founder))?;
            founders.push(Member { id: MemberId(id), address });
        }
        let small_number = |key: &str| -> Result<u8> {
            let text = value(key)?;
            text.parse().map_err(|_| invalid_identity(&path, key, text))
        };
        let group_id = GroupId { region: small_number("region")?, group: small_number("group")? };
        Ok(Identity { member: MemberId(number("member")?), group_id, founders })
    }
}

fn invalid_identity(path: &Path, key: &str, value: &str) -> error_stack::Report<Error> {
    let message = format_compact!("{}: key {key} has the invalid value '{value}'", path.display());
    Error::report(ErrorKind::BadRequest, message)
}
