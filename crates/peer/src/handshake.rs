//! The first frames of a link.

use poplarswitch_entity::Incarnation;
use poplarswitch_members::Identity;
use poplarswitch_wire::{FrameError, Greeting, Hello, PROTOCOL, decode, encode};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

/// Why a link was refused.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum HandshakeError {
    /// A frame does not parse.
    #[snafu(transparent)]
    Frame {
        /// The cause.
        source: FrameError,
    },
    /// The peer speaks another version.
    #[snafu(display("the peer speaks protocol {version}"))]
    Protocol {
        /// Its version.
        version: u32,
    },
    /// The peer does not know the secret.
    #[snafu(display("the peer does not know the secret"))]
    Secret,
    /// The peer is this process.
    #[snafu(display("the peer is this process"))]
    SelfLink,
}

/// One side of the first frames.
#[derive(Debug)]
pub(crate) struct Handshake<'a> {
    identity: &'a Identity,
    secret: &'a str,
    nonce: u64,
}

impl<'a> Handshake<'a> {
    pub(crate) fn new(identity: &'a Identity, secret: &'a str) -> Self {
        Self {
            identity,
            secret,
            nonce: rand::random(),
        }
    }

    /// The frame to send first.
    pub(crate) fn greeting(&self) -> Result<Vec<u8>, HandshakeError> {
        Ok(encode(&Greeting {
            protocol: PROTOCOL,
            nonce: self.nonce,
        })?)
    }

    /// The frame to send in return for the peer's greeting.
    pub(crate) fn hello(&self, greeting: &[u8]) -> Result<Vec<u8>, HandshakeError> {
        let greeting: Greeting = decode(greeting)?;
        if greeting.protocol != PROTOCOL {
            return ProtocolSnafu {
                version: greeting.protocol,
            }
            .fail();
        }
        let me = self.identity.incarnation;
        Ok(encode(&Hello {
            identity: self.identity.clone(),
            proof: proof(self.secret, greeting.nonce, me),
        })?)
    }

    /// Who the peer is, if its hello proves it.
    pub(crate) fn check(&self, hello: &[u8]) -> Result<Identity, HandshakeError> {
        let hello: Hello = decode(hello)?;
        let peer = hello.identity.incarnation;
        let expected = proof(self.secret, self.nonce, peer);
        if !bool::from(expected.ct_eq(&hello.proof)) {
            return SecretSnafu.fail();
        }
        if peer == self.identity.incarnation {
            return SelfLinkSnafu.fail();
        }
        Ok(hello.identity)
    }
}

/// The secret encloses the digest on both sides, so that it can't be extended.
fn proof(secret: &str, nonce: u64, sender: Incarnation) -> Vec<u8> {
    let inner = Sha256::new()
        .chain_update(secret)
        .chain_update(nonce.to_be_bytes())
        .chain_update(sender.0.to_be_bytes())
        .finalize();
    let outer = Sha256::new().chain_update(secret).chain_update(inner);
    outer.finalize().to_vec()
}
