import { runGateway } from "./run.ts";

void runGateway(process.env).then(code => process.exit(code));
