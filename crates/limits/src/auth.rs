//! Access control by tokens: each has a name, scopes, and the customers it covers.
//!
//! Only digests of tokens are held, and a presented token is compared with all of them in constant time, so that neither a
//! leaked file nor the response time reveals a token. A session remembers its token by name. When a token is withdrawn, the
//! session's next request is refused; its standing calls are left alone.

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
    /// Offer calls and end them.
    Offer,
    /// Read calls and their traces.
    Watch,
    /// Send requests to the admin port.
    Admin,
}

/// One entry of the token file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TokenEntry {
    pub name: String,
    /// SHA-256 of the token, 64 hexadecimal digits.
    pub sha256: String,
    pub scopes: BTreeSet<Scope>,
    /// The customers that the token covers. All if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customers: Option<BTreeSet<u16>>,
}

/// The token file.
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

    /// The customers whose calls the token may see.
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

/// A lookup compares a token with all others, so their number is limited.
const MAX_TOKENS: usize = 10_000;

/// All valid tokens.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    /// Digest and grant of each token. `None`: no token is required, and every request is allowed.
    grants: Option<Vec<([u8; 32], Grant)>>,
}

impl Tokens {
    /// No token is required.
    pub fn unrestricted() -> Self {
        Self::default()
    }

    /// The tokens of a file, or all its errors, each with its position in the file.
    pub fn from_file(file: &TokenFile) -> Result<Self, Vec<String>> {
        let (mut grants, mut errors, mut names) = (Vec::new(), Vec::new(), BTreeSet::new());
        if file.tokens.len() > MAX_TOKENS {
            errors.push(format!("tokens: {} entries, at most {MAX_TOKENS} are allowed", file.tokens.len()));
        }
        for (index, entry) in file.tokens.iter().enumerate().take(MAX_TOKENS) {
            match parse_digest(&entry.sha256) {
                Some(digest) if grants.iter().any(|(other, _)| *other == digest) => {
                    errors.push(format!("tokens[{index}].sha256: is the same as that of another token"));
                }
                Some(digest) => {
                    let TokenEntry { name, scopes, customers, .. } = entry.clone();
                    grants.push((digest, Grant { name, scopes, customers }));
                }
                None => errors.push(format!("tokens[{index}].sha256: is not 64 hexadecimal digits")),
            }
            if entry.name.is_empty() || !names.insert(&entry.name) {
                errors.push(format!(
                    "tokens[{index}].name: {:?} is empty or used by another token",
                    entry.name
                ));
            }
        }
        if errors.is_empty() { Ok(Self { grants: Some(grants) }) } else { Err(errors) }
    }

    pub fn are_required(&self) -> bool {
        self.grants.is_some()
    }

    /// The grant of a presented token. It is compared with every digest, so that the time taken does not depend on which
    /// one matches.
    pub fn lookup(&self, token: &str) -> Result<&Grant, AuthError> {
        let digest = Sha256::digest(token.as_bytes());
        let grants = self.grants.as_deref().unwrap_or_default();
        let mut found = None;
        for (index, (other, _)) in grants.iter().enumerate() {
            if bool::from(other[..].ct_eq(&digest[..])) {
                found = Some(index);
            }
        }
        found.map(|index| &grants[index].1).ok_or(AuthError::Unknown)
    }

    /// The grant of the token with this name, if it is still valid.
    pub fn grant_named(&self, name: Option<&str>) -> Option<&Grant> {
        let grants = self.grants.as_deref().unwrap_or_default();
        grants.iter().map(|(_, grant)| grant).find(|grant| Some(grant.name.as_str()) == name)
    }

    /// Checks whether a session that presented the token of this name may make a request of a scope, for a customer.
    pub fn check(
        &self,
        name: Option<&str>,
        scope: Scope,
        customer: Option<CustomerId>,
    ) -> Result<(), AuthError> {
        let Some(grants) = &self.grants else { return Ok(()) };
        let name = name.ok_or(AuthError::NoToken)?;
        let (_, grant) = grants.iter().find(|(_, grant)| grant.name == name).ok_or(AuthError::Withdrawn)?;
        if !grant.allows(scope) {
            return Err(AuthError::Scope);
        }
        match customer.filter(|customer| !grant.covers_customer(*customer)) {
            Some(customer) => Err(AuthError::Customer(customer.0)),
            None => Ok(()),
        }
    }
}

/// The SHA-256 digest of a token in hexadecimal, as the token file holds it.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|octet| format!("{octet:02x}")).collect()
}

fn parse_digest(text: &str) -> Option<[u8; 32]> {
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

    fn two_tokens() -> Tokens {
        let apps = entry("apps", "secret-a", &[Scope::Offer], Some(&[1]));
        let staff = entry("staff", "secret-s", &[Scope::Watch, Scope::Admin], None);
        Tokens::from_file(&TokenFile { tokens: vec![apps, staff] }).unwrap()
    }

    #[test]
    fn a_token_allows_its_scopes_and_customers_and_nothing_else() {
        let tokens = two_tokens();
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
    fn requests_of_a_session_whose_token_was_withdrawn_are_refused() {
        let remaining =
            Tokens::from_file(&TokenFile { tokens: vec![entry("staff", "secret-s", &[Scope::Watch], None)] })
                .unwrap();
        assert_eq!(two_tokens().check(Some("apps"), Scope::Offer, None), Ok(()));
        assert_eq!(remaining.check(Some("apps"), Scope::Offer, None), Err(AuthError::Withdrawn));
        assert_eq!(
            remaining.check(Some("staff"), Scope::Admin, None),
            Err(AuthError::Scope),
            "the scopes of the remaining token apply"
        );
        assert_eq!(Tokens::unrestricted().check(None, Scope::Admin, None), Ok(()));
    }

    #[test]
    fn every_error_of_a_token_file_is_reported_with_its_position() {
        let invalid = TokenEntry { sha256: "zz".repeat(32), ..entry("", "x", &[], None) };
        let duplicate = entry("apps", "secret-a", &[], None);
        let file = TokenFile { tokens: vec![invalid, duplicate.clone(), duplicate] };
        let errors = Tokens::from_file(&file).unwrap_err();
        let positions: Vec<_> = errors.iter().map(|error| error.split(": ").next().unwrap()).collect();
        assert_eq!(positions, ["tokens[0].sha256", "tokens[0].name", "tokens[2].sha256", "tokens[2].name"]);
    }
}
