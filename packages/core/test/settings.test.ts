import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { checkSettings, settingList } from "../src/index.ts";

const required = {
    name: "vm-1",
    dataCentre: "east",
    address: "127.0.0.1",
    platformUrl: "http://127.0.0.1:2379",
    clusterKey: "cluster-key-of-16-or-more",
    sealKey: "seal-key-of-16-or-more",
    operatorKeyHash: "0".repeat(64),
};

function faultsOf(given: Parameters<typeof checkSettings>[0]): string[] {
    const result = checkSettings(given);
    return "faults" in result ? result.faults.map(({ setting, message }) => `${setting.flag} ${message}`) : [];
}

describe("checkSettings", () => {
    it("fills in the documented defaults, so that a daemon starts with only the required settings", () => {
        const result = checkSettings(required);
        assert.ok("settings" in result);
        const { leaseTtl, leaseRenewal, partitions, maxBody } = result.settings;
        assert.deepEqual([leaseTtl, leaseRenewal, partitions, maxBody], [3000, 1000, 64, 4_194_304]);
    });

    it("reports all faults at once with name, value and range, so that all can be corrected after one failed start", () => {
        assert.deepEqual(faultsOf({ ...required, name: undefined, port: "99999", leaseTtl: "12x", turnLimit: "" }), [
            "name is missing; expected 1-64 letters, digits, '.', '_' or '-', starting with a letter or digit",
            "port \"99999\" is not allowed; expected a whole number from 0 to 65535",
            "lease-ttl \"12x\" is not allowed; expected a whole number from 200 to 60000 ms",
            "turn-limit \"\" is not allowed; expected a whole number from 1 to 100000",
        ]);
    });

    it("never prints a secret, since start-up errors are written to logs", () => {
        const text = JSON.stringify(checkSettings({ ...required, sealKey: "geheim" }));
        assert.match(text, /seal-key/);
        assert.doesNotMatch(text, /geheim/);
    });

    it("rejects settings that contradict each other", () => {
        assert.match(faultsOf({ ...required, leaseRenewal: "2000" }).join(), /^lease-renewal .*half of lease-ttl/);
        assert.match(faultsOf({ ...required, port: "8081" }).join(), /^peer-port "8081" .*other than port/);
    });

    it("gives every setting a flag, a variable, a range and a description, which --help prints", () => {
        for (const { flag, variable, range, description } of settingList) {
            assert.match(flag, /^[a-z-]+$/);
            assert.match(variable, /^TAMARACKGAUGE_[A-Z_]+$/);
            assert.ok(range !== "" && description !== "", flag);
        }
    });
});
