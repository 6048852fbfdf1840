//! Reads integers and slices from the front of octets. Errors name the parameter that was being read.

use crate::message::IsupError;

pub(crate) struct OctetReader<'a> {
    rest: &'a [u8],
    what: &'static str,
}

impl<'a> OctetReader<'a> {
    pub fn new(rest: &'a [u8], what: &'static str) -> Self {
        Self { rest, what }
    }

    pub fn take(&mut self, count: usize) -> Result<&'a [u8], IsupError> {
        let too_short = IsupError::TooShort { what: self.what, needed: count, actual: self.rest.len() };
        let (head, rest) = self.rest.split_at_checked(count).ok_or(too_short)?;
        self.rest = rest;
        Ok(head)
    }

    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], IsupError> {
        let mut octets = [0; N];
        octets.copy_from_slice(self.take(N)?);
        Ok(octets)
    }

    pub fn u8(&mut self) -> Result<u8, IsupError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, IsupError> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, IsupError> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, IsupError> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn rest(self) -> &'a [u8] {
        self.rest
    }
}
