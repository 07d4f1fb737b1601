/**
 * Bytes since the start, WebSocket headers included, TCP and IP headers not. Heartbeats, asks and handshakes are
 * control, streams are data.
 */
export interface Traffic {
    readonly controlSent: number;
    readonly controlReceived: number;
    readonly dataSent: number;
    readonly dataReceived: number;
    readonly framesSent: number;
    readonly framesReceived: number;
}

/** Counts bytes of frames. `control` is the part of the payload that is control traffic. */
export interface Meter {
    sent(payload: number, control: number, masked: boolean): void;
    received(payload: number, control: number, masked: boolean): void;
    read(): Traffic;
}

export function createMeter(): Meter {
    const total = { controlSent: 0, controlReceived: 0, dataSent: 0, dataReceived: 0, framesSent: 0,
        framesReceived: 0 };
    return {
        sent(payload, control, masked) {
            const part = split(payload, control, masked);
            total.framesSent += 1;
            total.controlSent += part.control;
            total.dataSent += part.data;
        },
        received(payload, control, masked) {
            const part = split(payload, control, masked);
            total.framesReceived += 1;
            total.controlReceived += part.control;
            total.dataReceived += part.data;
        },
        read: () => ({ ...total }),
    };
}

/** The header of a frame counts as data as soon as the frame carries any data. */
function split(payload: number, control: number, masked: boolean): { control: number; data: number; } {
    const header = (payload < 126 ? 2 : payload < 65_536 ? 4 : 10) + (masked ? 4 : 0);
    // The array marker of the frame is at most 3 bytes and belongs to the header.
    return payload - control <= 3
        ? { control: payload + header, data: 0 }
        : { control, data: payload - control + header };
}
