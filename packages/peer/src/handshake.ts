import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import { z } from "zod";
import { ProtocolError } from "./reason.ts";

const name = z.string().min(1).max(128);
const incarnation = z.string().min(1).max(128);
const nonce = z.base64().length(44);
const proof = z.base64().length(44);

/** Dialling daemon -> accepting daemon. `to` is the daemon that it means to reach. */
const helloSchema = z.strictObject({ version: z.literal(1), name, to: name, incarnation, nonce });
/** Accepting daemon -> dialling daemon. */
const challengeSchema = z.strictObject({ name, incarnation, nonce });
/** Dialling daemon first, so that the accepting one computes proofs only for those who know the key. */
const proofSchema = z.strictObject({ proof });

/** What both ends prove: both names, both incarnations and both nonces. */
export interface Transcript {
    readonly dialer: string;
    readonly dialerIncarnation: string;
    readonly dialerNonce: string;
    readonly accepter: string;
    readonly accepterIncarnation: string;
    readonly accepterNonce: string;
}

/** The other end, once it has proved that it knows the cluster key. */
export interface Identity {
    readonly name: string;
    readonly incarnation: string;
}

/** One end of a handshake. `receive` returns the text to send, and the identity when the handshake is complete. */
export interface Handshake {
    /** The first text to send, if this end begins. */
    readonly firstMessage: string | undefined;
    /** Throws ProtocolError if the text is not what the handshake needs next. */
    receive(text: string): { readonly send?: string; readonly identity?: Identity; };
}

/** The dialling end. */
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

/** The accepting end. */
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
        throw new ProtocolError("malformed", "the handshake is not JSON");
    }
    const result = schema.safeParse(value);
    if (!result.success) {
        throw new ProtocolError("malformed", "the handshake message is not the expected one");
    }
    return result.data;
}

/** The role keeps a proof from being sent back as the answer to itself. */
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
