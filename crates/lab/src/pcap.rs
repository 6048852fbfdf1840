//! Writes the ISUP messages on the links to a pcap file of link type MTP3 (141), which Wireshark can open.

use std::borrow::Cow;
use std::io::Write;
use std::time::Duration;

use mintstall_emulator::{Observation, Observer};
use mintstall_isup::{Frame, ProtocolData};
use pcap_file::pcap::{PcapHeader, PcapPacket, PcapWriter};
use pcap_file::{DataLink, PcapError};

/// Writes each ISUP message with the octets that its sender wrote to the socket.
pub struct SignallingCapture<W: Write> {
    writer: PcapWriter<W>,
    /// The first write error; nothing is written after it.
    write_error: Option<PcapError>,
}

impl<W: Write> SignallingCapture<W> {
    pub fn new(output: W) -> Result<Self, PcapError> {
        let header = PcapHeader { datalink: DataLink::MTP3, ..PcapHeader::default() };
        Ok(Self { writer: PcapWriter::with_header(output, header)?, write_error: None })
    }

    pub fn finish(self) -> Result<W, PcapError> {
        match self.write_error {
            Some(error) => Err(error),
            None => Ok(self.writer.into_writer()),
        }
    }
}

impl<W: Write> Observer for SignallingCapture<W> {
    fn observe(&mut self, at: Duration, observation: Observation) {
        let (Observation::FrameSent { frame, .. }, None) = (observation, &self.write_error) else { return };
        let Ok(Frame::Data(data)) = Frame::read(frame) else { return };
        let octets = mtp3(&data);
        let length = octets.len() as u32;
        let packet = PcapPacket { timestamp: at, orig_len: length, data: Cow::Owned(octets) };
        self.write_error = self.writer.write_packet(&packet).err();
    }
}

/// The MTP3 message: service information octet and routing label (Q.704 clauses 14.2 and 2.2) with point codes of 14 bits,
/// then the ISUP message.
fn mtp3(data: &ProtocolData) -> Vec<u8> {
    let label = data.dpc & 0x3fff | (data.opc & 0x3fff) << 14 | u32::from(data.sls & 15) << 28;
    let mut octets = Vec::with_capacity(5 + data.user.len());
    octets.push(data.network << 6 | data.priority << 4 | data.service & 15);
    octets.extend_from_slice(&label.to_le_bytes());
    octets.extend_from_slice(data.user);
    octets
}
