//! The command line's words, each taken once.

use std::str::FromStr;

use crate::cli::Failure;

/// What is left of the command line.
pub(super) struct Arguments {
    inner: pico_args::Arguments,
}

impl Arguments {
    pub(super) fn from_env() -> Arguments {
        Arguments { inner: pico_args::Arguments::from_env() }
    }

    /// Takes the next word as a command.
    pub(super) fn subcommand(&mut self) -> Result<Option<String>, Failure> {
        self.inner.subcommand().map_err(usage)
    }

    /// Takes `--help`.
    pub(super) fn wants_help(&mut self) -> bool {
        self.inner.contains(["-h", "--help"])
    }

    /// Takes a flag without a value.
    pub(super) fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// Takes a flag with a value, if it is there.
    pub(super) fn optional<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, Failure> {
        self.inner.opt_value_from_str(name).map_err(usage)
    }

    /// Takes a flag with a value.
    pub(super) fn required<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<T, Failure> {
        match self.optional(name)? {
            Some(it) => Ok(it),
            None => Err(self.missing(name)),
        }
    }

    /// Takes a flag whose value is a list separated by commas.
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

    /// Takes the next word that is no flag.
    pub(super) fn word(&mut self, what: &str) -> Result<String, Failure> {
        let taken: Option<String> = self.inner.opt_free_from_str().map_err(usage)?;
        match taken {
            Some(it) if it.starts_with('-') => Err(Failure::Usage(format!("unknown flag {it}"))),
            Some(it) => Ok(it),
            None => Err(self.missing(what)),
        }
    }

    /// Returns the failure for something missing, or for the unknown flag that was given instead.
    pub(super) fn missing(&self, what: &str) -> Failure {
        let rest = self.inner.clone().finish();
        let flag = rest.iter().map(|it| it.to_string_lossy()).find(|it| it.starts_with('-'));
        match flag {
            Some(it) => Failure::Usage(format!("unknown flag {it} ({what} is missing)")),
            None => Failure::Usage(format!("{what} is missing")),
        }
    }

    /// Refuses whatever was not taken.
    pub(super) fn finish(self) -> Result<(), Failure> {
        match self.inner.finish().first() {
            None => Ok(()),
            Some(it) => {
                let it = it.to_string_lossy();
                let what = if it.starts_with('-') { "unknown flag" } else { "one word too many:" };
                Err(Failure::Usage(format!("{what} {it}")))
            }
        }
    }
}

fn usage(it: pico_args::Error) -> Failure {
    Failure::Usage(it.to_string())
}
