/**
 * Bytes and frames since the start. Bytes include WebSocket headers, but not TCP and IP headers. Heartbeats, queries
 * and handshakes count as control traffic, streams as data.
 */
export interface Traffic {
    readonly controlSent: number;
    readonly controlReceived: number;
    readonly dataSent: number;
    readonly dataReceived: number;
    readonly framesSent: number;
    readonly framesReceived: number;
}

/** Counts the bytes of frames. `controlBytes` is the part of the payload that is control traffic. */
export interface TrafficMeter {
    recordSent(payloadBytes: number, controlBytes: number, masked: boolean): void;
    recordReceived(payloadBytes: number, controlBytes: number, masked: boolean): void;
    read(): Traffic;
}

export function createTrafficMeter(): TrafficMeter {
    const totals = { controlSent: 0, controlReceived: 0, dataSent: 0, dataReceived: 0, framesSent: 0,
        framesReceived: 0 };
    return {
        recordSent(payloadBytes, controlBytes, masked) {
            const part = splitFrameBytes(payloadBytes, controlBytes, masked);
            totals.framesSent += 1;
            totals.controlSent += part.control;
            totals.dataSent += part.data;
        },
        recordReceived(payloadBytes, controlBytes, masked) {
            const part = splitFrameBytes(payloadBytes, controlBytes, masked);
            totals.framesReceived += 1;
            totals.controlReceived += part.control;
            totals.dataReceived += part.data;
        },
        read: () => ({ ...totals }),
    };
}

/** The header of a frame counts as data if the frame contains any data. */
function splitFrameBytes(payloadBytes: number, control: number, masked: boolean): { control: number; data: number; } {
    const headerBytes = (payloadBytes < 126 ? 2 : payloadBytes < 65_536 ? 4 : 10) + (masked ? 4 : 0);
    // The array marker of the frame takes at most 3 bytes and is counted with the header.
    return payloadBytes - control <= 3
        ? { control: payloadBytes + headerBytes, data: 0 }
        : { control, data: payloadBytes - control + headerBytes };
}
