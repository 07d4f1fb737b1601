export { lossesCommand } from "./command.ts";
