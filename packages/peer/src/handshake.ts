import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { ProtocolError } from "./reason.ts";

const name = z.string().min(1).max(128);
const incarnation = z.string().min(1).max(128);
const nonce = z.base64().length(44);
const proof = z.base64().length(44);

/** Sent by the dialer. `to` is the name of the daemon that it intends to reach. */
const helloSchema = z.strictObject({ version: z.literal(1), name, to: name, incarnation, nonce });
/** Sent by the accepter in response to the hello. */
const challengeSchema = z.strictObject({ name, incarnation, nonce });
/** The dialer proves first, so that the accepter computes proofs only for daemons that know the key. */
const proofSchema = z.strictObject({ proof });

/** The values that the proofs cover: the names, incarnations and nonces of both ends. */
export interface Transcript {
    readonly dialer: string;
    readonly dialerIncarnation: string;
    readonly dialerNonce: string;
    readonly accepter: string;
    readonly accepterIncarnation: string;
    readonly accepterNonce: string;
}

/** Name and incarnation of a daemon. A handshake returns those of the other end once its proof is verified. */
export interface Identity {
    readonly name: string;
    readonly incarnation: string;
}

/**
 * One end of a handshake. `receive` returns the next message to send, and the identity of the other end when the
 * handshake is complete.
 */
export interface Handshake {
    /** The message that starts the handshake; undefined at the accepter. */
    readonly firstMessage: string | undefined;
    /** Throws ProtocolError if the text is not the message expected next. */
    receive(text: string): { readonly send?: string; readonly identity?: Identity; };
}

export function createDialerHandshake(self: Identity, to: string, key: Buffer): Handshake {
    const ownNonce = createNonce();
    let transcript: Transcript | undefined;
    return {
        firstMessage: JSON.stringify({ version: 1, name: self.name, to, incarnation: self.incarnation,
            nonce: ownNonce }),
        receive(text) {
            if (transcript === undefined) {
                const challenge = parse(challengeSchema, text);
                if (challenge.name !== to) {
                    throw new ProtocolError("wrong_name", challenge.name);
                }
                transcript = { dialer: self.name, dialerIncarnation: self.incarnation, dialerNonce: ownNonce,
                    accepter: to, accepterIncarnation: challenge.incarnation, accepterNonce: challenge.nonce };
                return { send: JSON.stringify({ proof: computeProof(key, "dialer", transcript) }) };
            }
            verifyProof(key, "accepter", transcript, parse(proofSchema, text).proof);
            return { identity: { name: to, incarnation: transcript.accepterIncarnation } };
        },
    };
}

export function createAccepterHandshake(self: Identity, key: Buffer): Handshake {
    const ownNonce = createNonce();
    let transcript: Transcript | undefined;
    return {
        firstMessage: undefined,
        receive(text) {
            if (transcript === undefined) {
                const hello = parse(helloSchema, text);
                if (hello.to !== self.name || hello.name === self.name) {
                    throw new ProtocolError("wrong_name", `from ${hello.name} to ${hello.to}`);
                }
                transcript = { dialer: hello.name, dialerIncarnation: hello.incarnation, dialerNonce: hello.nonce,
                    accepter: self.name, accepterIncarnation: self.incarnation, accepterNonce: ownNonce };
                return { send: JSON.stringify({ name: self.name, incarnation: self.incarnation, nonce: ownNonce }) };
            }
            verifyProof(key, "dialer", transcript, parse(proofSchema, text).proof);
            return {
                send: JSON.stringify({ proof: computeProof(key, "accepter", transcript) }),
                identity: { name: transcript.dialer, incarnation: transcript.dialerIncarnation },
            };
        },
    };
}

function createNonce(): string {
    return randomBytes(32).toString("base64");
}

function parse<T>(schema: z.ZodType<T>, text: string): T {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        throw new ProtocolError("malformed", "the handshake message is not JSON");
    }
    const result = schema.safeParse(value);
    if (!result.success) {
        throw new ProtocolError("malformed", "the handshake message does not match the expected schema");
    }
    return result.data;
}

/** The proof includes the role, so that a proof cannot be reflected to the end that sent it. */
function computeProof(key: Buffer, role: "dialer" | "accepter", transcript: Transcript): string {
    const fields = ["tamarackgauge-peer-1", role, transcript.dialer, transcript.dialerIncarnation,
        transcript.dialerNonce, transcript.accepter, transcript.accepterIncarnation, transcript.accepterNonce];
    return createHmac("sha256", key).update(JSON.stringify(fields)).digest("base64");
}

function verifyProof(key: Buffer, role: "dialer" | "accepter", transcript: Transcript, proof: string): void {
    const expected = Buffer.from(computeProof(key, role, transcript), "base64");
    const actual = Buffer.from(proof, "base64");
    if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
        throw new ProtocolError("unauthenticated");
    }
}
