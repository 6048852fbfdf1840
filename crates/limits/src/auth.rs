//! Who may do what: tokens, each with a name, scopes and the customers it may call for.
//!
//! Only digests of tokens are held, and a token is compared with all of them in the same time whichever it is, so that
//! neither a file that leaks nor the time of an answer tells one. A session remembers its token by name: one that is
//! withdrawn ends what the session may do at its next request, and what stands is left alone.

use std::collections::BTreeSet;

use mintstall::interface::CustomerId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::event_log::CustomerFilter;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Ask for calls and end them.
    Offer,
    /// See calls and their traces.
    Watch,
    /// Ask the admin port.
    Admin,
}

/// One token, as its file has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenEntry {
    pub name: String,
    /// SHA-256 of the token, 64 hexadecimal digits.
    pub sha256: String,
    pub scopes: BTreeSet<Scope>,
    /// The customers that it may call for; none named: all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<BTreeSet<u16>>,
}

/// The file of tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenFile {
    pub tokens: Vec<TokenEntry>,
}

/// What a token allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    pub name: String,
    pub scopes: BTreeSet<Scope>,
    customers: Option<BTreeSet<u16>>,
}

impl Grant {
    pub fn allows(&self, scope: Scope) -> bool {
        self.scopes.contains(&scope)
    }

    /// The customers whose calls it may see.
    pub fn customer_filter(&self) -> CustomerFilter {
        match &self.customers {
            None => CustomerFilter::All,
            Some(customers) => CustomerFilter::Only(customers.iter().copied().map(CustomerId).collect()),
        }
    }

    pub fn covers_customer(&self, customer: CustomerId) -> bool {
        self.customers.as_ref().is_none_or(|customers| customers.contains(&customer.0))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AuthError {
    #[error("say session.hello with a token first")]
    NoToken,
    #[error("the token is not known")]
    Unknown,
    #[error("the token was withdrawn")]
    Withdrawn,
    #[error("the token does not allow this")]
    Scope,
    #[error("the token does not call for customer {0}")]
    Customer(u16),
}

/// Tokens that may be held: looking one up compares it with all.
const MOST: usize = 10_000;

/// All tokens in force.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    /// None: everybody may do everything.
    held: Option<Vec<([u8; 32], Grant)>>,
}

impl Tokens {
    /// Nobody is asked for a token.
    pub fn unrestricted() -> Self {
        Self::default()
    }

    /// Every fault of the file, each with its place; or the tokens.
    pub fn from_file(file: &TokenFile) -> Result<Self, Vec<String>> {
        let (mut held, mut faults, mut names) = (Vec::new(), Vec::new(), BTreeSet::new());
        if file.tokens.len() > MOST {
            faults.push(format!("tokens: {} are more than {MOST}", file.tokens.len()));
        }
        for (at, entry) in file.tokens.iter().enumerate().take(MOST) {
            match digest(&entry.sha256) {
                Some(digest) if held.iter().any(|(other, _)| *other == digest) => {
                    faults.push(format!("tokens[{at}].sha256: another token has it"));
                }
                Some(digest) => {
                    let TokenEntry { name, scopes, customers, .. } = entry.clone();
                    held.push((digest, Grant { name, scopes, customers }));
                }
                None => faults.push(format!("tokens[{at}].sha256: is not 64 hexadecimal digits")),
            }
            if entry.name.is_empty() || !names.insert(&entry.name) {
                faults.push(format!("tokens[{at}].name: {:?} is empty or used before", entry.name));
            }
        }
        if faults.is_empty() { Ok(Self { held: Some(held) }) } else { Err(faults) }
    }

    pub fn are_required(&self) -> bool {
        self.held.is_some()
    }

    /// The token that somebody presents. All are compared, whichever fits.
    pub fn lookup(&self, token: &str) -> Result<&Grant, AuthError> {
        let digest = Sha256::digest(token.as_bytes());
        let held = self.held.as_deref().unwrap_or_default();
        let mut found = None;
        for (at, (other, _)) in held.iter().enumerate() {
            if bool::from(other[..].ct_eq(&digest[..])) {
                found = Some(at);
            }
        }
        found.map(|at| &held[at].1).ok_or(AuthError::Unknown)
    }

    /// The token of a name, if it is in force.
    pub fn grant_named(&self, name: Option<&str>) -> Option<&Grant> {
        let held = self.held.as_deref().unwrap_or_default();
        held.iter().map(|(_, grant)| grant).find(|grant| Some(grant.name.as_str()) == name)
    }

    /// Whether a session that presented the token of this name may do something now.
    pub fn check(
        &self,
        name: Option<&str>,
        scope: Scope,
        customer: Option<CustomerId>,
    ) -> Result<(), AuthError> {
        let Some(held) = &self.held else { return Ok(()) };
        let name = name.ok_or(AuthError::NoToken)?;
        let (_, grant) = held.iter().find(|(_, grant)| grant.name == name).ok_or(AuthError::Withdrawn)?;
        if !grant.allows(scope) {
            return Err(AuthError::Scope);
        }
        match customer.filter(|customer| !grant.covers_customer(*customer)) {
            Some(customer) => Err(AuthError::Customer(customer.0)),
            None => Ok(()),
        }
    }
}

/// What a file holds of a token.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|octet| format!("{octet:02x}")).collect()
}

fn digest(text: &str) -> Option<[u8; 32]> {
    let octets = text.as_bytes();
    let mut digest = [0; 32];
    if octets.len() != 64 {
        return None;
    }
    for (octet, pair) in digest.iter_mut().zip(octets.chunks(2)) {
        let pair = std::str::from_utf8(pair)
            .ok()
            .filter(|pair| pair.bytes().all(|digit| digit.is_ascii_hexdigit()))?;
        *octet = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(name: &str, token: &str, scopes: &[Scope], customers: Option<&[u16]>) -> TokenEntry {
        TokenEntry {
            name: name.into(),
            sha256: token_digest(token),
            scopes: scopes.iter().copied().collect(),
            customers: customers.map(|customers| customers.iter().copied().collect()),
        }
    }

    fn two() -> Tokens {
        let apps = entry("apps", "secret-a", &[Scope::Offer], Some(&[1]));
        let staff = entry("staff", "secret-s", &[Scope::Watch, Scope::Admin], None);
        Tokens::from_file(&TokenFile { tokens: vec![apps, staff] }).unwrap()
    }

    #[test]
    fn a_token_allows_its_scopes_and_customers_and_nothing_else() {
        let tokens = two();
        assert_eq!(tokens.lookup("secret-a").unwrap().name, "apps");
        assert_eq!(tokens.lookup("secret-"), Err(AuthError::Unknown));
        let check = |name, scope, customer: u16| tokens.check(name, scope, Some(CustomerId(customer)));
        assert_eq!(check(Some("apps"), Scope::Offer, 1), Ok(()));
        assert_eq!(check(Some("apps"), Scope::Offer, 2), Err(AuthError::Customer(2)));
        assert_eq!(check(Some("apps"), Scope::Admin, 1), Err(AuthError::Scope));
        assert_eq!(check(Some("staff"), Scope::Offer, 1), Err(AuthError::Scope));
        assert_eq!(check(None, Scope::Offer, 1), Err(AuthError::NoToken));
    }

    #[test]
    fn a_token_withdrawn_ends_what_its_sessions_may_do() {
        let rest =
            Tokens::from_file(&TokenFile { tokens: vec![entry("staff", "secret-s", &[Scope::Watch], None)] })
                .unwrap();
        assert_eq!(two().check(Some("apps"), Scope::Offer, None), Ok(()));
        assert_eq!(rest.check(Some("apps"), Scope::Offer, None), Err(AuthError::Withdrawn));
        assert_eq!(
            rest.check(Some("staff"), Scope::Admin, None),
            Err(AuthError::Scope),
            "and narrowed ones are narrowed"
        );
        assert_eq!(Tokens::unrestricted().check(None, Scope::Admin, None), Ok(()));
    }

    #[test]
    fn every_fault_of_a_file_is_found_with_its_place() {
        let bad = TokenEntry { sha256: "zz".repeat(32), ..entry("", "x", &[], None) };
        let twice = entry("apps", "secret-a", &[], None);
        let file = TokenFile { tokens: vec![bad, twice.clone(), twice] };
        let faults = Tokens::from_file(&file).unwrap_err();
        let places: Vec<_> = faults.iter().map(|fault| fault.split(": ").next().unwrap()).collect();
        assert_eq!(places, ["tokens[0].sha256", "tokens[0].name", "tokens[2].sha256", "tokens[2].name"]);
    }
}
