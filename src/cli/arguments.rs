//! Command-line parsing: each argument is removed when it is read.

use std::str::FromStr;

use crate::cli::Failure;

/// The arguments that have not been read yet.
pub(super) struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    pub(super) fn from_env() -> Arguments {
        Arguments { inner: pico_args::Arguments::from_env() }
    }

    /// Reads the next positional argument as a command.
    pub(super) fn subcommand(&mut self) -> Result<Option<String>, Failure> {
        self.inner.subcommand().map_err(usage)
    }

    /// Reads `-h` or `--help`.
    pub(super) fn wants_help(&mut self) -> bool {
        self.inner.contains(["-h", "--help"])
    }

    /// Reads a flag without a value.
    pub(super) fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// Reads an optional flag with a value.
    pub(super) fn optional<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, Failure> {
        self.inner.opt_value_from_str(name).map_err(usage)
    }

    /// Reads a required flag with a value.
    pub(super) fn required<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<T, Failure> {
        match self.optional(name)? {
            Some(it) => Ok(it),
            None => Err(self.missing(name)),
        }
    }

    /// Reads a flag whose value is a comma-separated list.
    pub(super) fn list<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Vec<T>, Failure> {
        let Some(text) = self.optional::<String>(name)? else { return Ok(Vec::new()) };
        let parse = |it: &str| {
            it.trim().parse().map_err(|error| Failure::Usage(format!("{name}: '{it}': {error}")))
        };
        text.split(',').filter(|it| !it.trim().is_empty()).map(parse).collect()
    }

    /// Reads the next positional argument.
    pub(super) fn positional(&mut self, name: &str) -> Result<String, Failure> {
        let word: Option<String> = self.inner.opt_free_from_str().map_err(usage)?;
        match word {
            Some(it) if it.starts_with('-') => Err(Failure::Usage(format!("unknown flag {it}"))),
            Some(it) => Ok(it),
            None => Err(self.missing(name)),
        }
    }

    /// Returns the failure for a missing argument; also names an unknown flag if one was given.
    pub(super) fn missing(&self, name: &str) -> Failure {
        let rest = self.inner.clone().finish();
        let flag = rest.iter().map(|it| it.to_string_lossy()).find(|it| it.starts_with('-'));
        match flag {
            Some(it) => Failure::Usage(format!("unknown flag {it} ({name} is missing)")),
            None => Failure::Usage(format!("{name} is missing")),
        }
    }

    /// Returns an error if any argument has not been read.
    pub(super) fn finish(self) -> Result<(), Failure> {
        match self.inner.finish().first() {
            None => Ok(()),
            Some(it) => {
                let it = it.to_string_lossy();
                let problem =
                    if it.starts_with('-') { "unknown flag" } else { "unexpected argument" };
                Err(Failure::Usage(format!("{problem} {it}")))
            }
        }
    }
}

fn usage(error: pico_args::Error) -> Failure {
    Failure::Usage(error.to_string())
}
