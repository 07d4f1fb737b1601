/** Hashes text to 32 bits (FNV-1a with a final mix); the result is the same on every machine. */
export function hash(text: string): number {
    let value = 0x811c9dc5;
    for (let index = 0; index < text.length; index += 1) {
        value = Math.imul(value ^ text.charCodeAt(index), 0x01000193);
    }
    value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
    return (value ^ (value >>> 16)) >>> 0;
}

/** Orders names by rendezvous (highest random weight) hashing for a key, the highest weight first. */
export function rankByRendezvous(key: string, names: Iterable<string>): readonly string[] {
    return [...names]
        .map(name => ({ name, weight: hash(`${key}\n${name}`) }))
        .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
        .map(entry => entry.name);
}
