package cairnline.simhost;

import cairnline.control.Control;
import cairnline.control.ControlApi;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.Request;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.StatusUpdate;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads batches of events, delivers them to the decision modules they name and collects the modules' actions. */
final class BatchProcessor {
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** The field trueCost holds the work in milliseconds times this base, plus the memory in units of 4 MB. */
    private static final int COST_FIELD_BASE = 4096;
    private static final int MEGABYTES_PER_COST_UNIT = 4;
    private static final int MAX_INVENTORIES = 16;

    private record Instance(ControlApi control, ActionWriter actions) { }

    private final Map<Long, Instance> instances = new HashMap<>();
    private final List<List<Engine>> inventories = new ArrayList<>();
    private final Fields in = new Fields();

    BatchProcessor() {
        for (int i = 0; i < MAX_INVENTORIES; i++) {
            inventories.add(null);
        }
    }

    /** Processes one batch and appends the reply; returns false at the end of input. */
    boolean processBatch(BufferedReader reader, StringBuilder reply) throws IOException {
        String line = reader.readLine();
        if (line == null) {
            return false;
        }
        if (!in.read(line).equals("TURN")) {
            throw new WireException("a batch must start with TURN", line);
        }
        long now = in.integer("atTimeNs");
        while (true) {
            line = reader.readLine();
            if (line == null) {
                throw new WireException("input ended inside a batch", "TURN atTimeNs=" + now);
            }
            String name = in.read(line);
            if (name.equals("GO")) {
                break;
            }
            handleEvent(name, line, now, reader, reply);
        }
        reply.append("OK\n");
        return true;
    }

    private void handleEvent(String name, String line, long now, BufferedReader reader, StringBuilder reply)
            throws IOException {
        switch (name) {
            case "INVENTORY" -> readInventory(line, reader);
            case "HELLO" -> startInstance(now, line, reply);
            case "EXIT" -> {
                instanceOf(line);
                instances.remove(in.integer("frontId"));
            }
            default -> dispatch(name, line, now);
        }
    }

    private void startInstance(long now, String line, StringBuilder reply) {
        long front = in.integer("frontId");
        ActionWriter actions = new ActionWriter(reply, front);
        try {
            ControlApi control = new Control(new SettingsReader(in).read(), in.integer("randomSeed", 0), now, actions);
            instances.put(front, new Instance(control, actions));
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage(), line);
        }
    }

    private Instance instanceOf(String line) {
        Instance instance = instances.get(in.integer("frontId"));
        if (instance == null) {
            throw new WireException("unknown front", line);
        }
        return instance;
    }

    private void dispatch(String name, String line, long now) {
        if (!in.has("frontId")) {
            throw new WireException("field frontId is missing", line);
        }
        Instance instance = instanceOf(line);
        try {
            deliver(instance.control(), name, line, now);
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            instance.actions().reportCrash(e);
        }
    }

    private void deliver(ControlApi control, String name, String line, long now) {
        switch (name) {
            case "REGISTRY" -> deliverEngineList(control, line, now);
            case "NEW_REQUEST" -> control.onRequest(now, readRequest());
            case "STREAMING" -> control.onStreaming(now, in.text("msgId"), (int) in.integer("attempt", 0));
            case "RETURNED" -> control.onOutcome(now, readOutcome(line));
            case "STATUS_NOTE" -> deliverStatusUpdate(control, line, now);
            case "ABANDONED" -> control.onAbandoned(now, in.text("msgId"));
            case "TIMER" -> control.onTimer(now, in.integer("handle"));
            case "ECHO" -> control.onProbeResult(now, in.text("engine"), readAttemptStatus(line) == AttemptStatus.OK,
                    in.integer("rttNs", 0), readLoad(line));
            case "PEER" -> control.onPeerMessage(now, (int) in.integer("sender"), readContents(line));
            default -> throw new WireException("unknown event " + name, line);
        }
    }

    private byte[] readContents(String line) {
        String text = in.text("contents", "-");
        try {
            return text.equals("-") ? new byte[0] : Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new WireException("contents are not base64", line);
        }
    }

    private void readInventory(String line, BufferedReader reader) throws IOException {
        int number = readInventoryNumber(line);
        long rows = in.integer("rows");
        List<Engine> entries = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            String row = reader.readLine();
            if (row == null || !in.read(row).equals("ENTRY")) {
                throw new WireException("INVENTORY has fewer entries than its rows field announces", line);
            }
            entries.add(new Engine(in.text("engine"), readEngineStatus(row), in.text("locality", ""), in.text("flavor", ""),
                    (int) in.integer("cluster", 0), in.number("nominal", 1), in.integer("cameUpNs", 0)));
        }
        inventories.set(number, entries);
    }

    private EngineStatus readEngineStatus(String line) {
        return switch ((int) in.integer("status", 1)) {
            case 1 -> EngineStatus.READY;
            case 2 -> EngineStatus.DRAINING;
            case 0 -> EngineStatus.REMOVED;
            default -> throw new WireException("unknown status", line);
        };
    }

    private int readInventoryNumber(String line) {
        long number = in.integer("sheet");
        if (number < 0 || number >= MAX_INVENTORIES) {
            throw new WireException("the number of an INVENTORY is not between 0 and 15", line);
        }
        return (int) number;
    }

    private void deliverEngineList(ControlApi control, String line, long now) {
        long kind = in.integer("kind");
        if (kind == 0) {
            control.onDiscoveryUnreachable(now);
            return;
        }
        if (kind < 2 || kind > 4) {
            throw new WireException("unknown kind of REGISTRY", line);
        }
        List<Engine> entries = inventories.get(readInventoryNumber(line));
        if (entries == null) {
            throw new WireException("no INVENTORY with this number", line);
        }
        control.onEngineList(now, kind != 2, entries);
    }

    private Request readRequest() {
        // Bit 0: planCostNs is valid; bit 1: the client has marked the request as a retry.
        long flags = in.integer("stateBits", 0);
        return new Request(in.text("msgId"), in.text("type"), in.text("customer", ""), in.has("object"),
                in.integer("object", 0), in.integer("budgetNs"), (flags & 1) != 0 ? in.integer("planCostNs", 0) : 0,
                in.number("needMb", 0), (int) in.number("tableGroup", -1), (flags & 2) != 0);
    }

    private Outcome readOutcome(String line) {
        long cost = in.integer("trueCost", 0);
        return new Outcome(in.text("msgId"), (int) in.integer("attempt", 0), in.text("engine"), readAttemptStatus(line),
                in.integer("rttNs", 0), in.flag("last", false), cost / COST_FIELD_BASE * NANOS_PER_MILLI,
                cost % COST_FIELD_BASE * MEGABYTES_PER_COST_UNIT, readLoad(line));
    }

    private AttemptStatus readAttemptStatus(String line) {
        return switch ((int) in.integer("how")) {
            case 10 -> AttemptStatus.OK;
            case 20 -> AttemptStatus.ERROR;
            case 30 -> AttemptStatus.FULL;
            case 40 -> AttemptStatus.TIMEOUT;
            case 50 -> AttemptStatus.CONNECT_FAILED;
            case 60 -> AttemptStatus.RESET;
            case 70 -> AttemptStatus.CANCELLED;
            case 80 -> AttemptStatus.NOT_SENT;
            default -> throw new WireException("unknown outcome", line);
        };
    }

    private void deliverStatusUpdate(ControlApi control, String line, long now) {
        double amount = in.number("amount", 0);
        StatusKind kind = switch ((int) in.integer("kind")) {
            case 1 -> StatusKind.PROGRESS;
            case 2 -> StatusKind.SPILL;
            case 3 -> amount >= 2 ? StatusKind.WAITS_LOAD : StatusKind.WAITS_MEMORY;
            default -> null;
        };
        if (kind != null) {
            control.onStatusUpdate(now, new StatusUpdate(in.text("msgId"), (int) in.integer("attempt", 0),
                    in.text("engine"), kind, amount));
        }
    }

    private Load readLoad(String line) {
        String text = in.text("healthInfo", "");
        if (text.isEmpty() || text.equals("-")) {
            return Load.NONE;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        int start = 0;
        while (start < text.length()) {
            int comma = text.indexOf(',', start);
            int stop = comma < 0 ? text.length() : comma;
            int colon = text.indexOf(':', start);
            if (colon < 0 || colon > stop) {
                throw new WireException("an entry of the load report has no value", line);
            }
            int column = columnOf(text.substring(start, colon));
            if (column >= 0) {
                values[column] = parseValue(text.substring(colon + 1, stop), line);
            }
            start = stop + 1;
        }
        return new Load(values[0], values[1], values[2], values[3], values[4]);
    }

    private static double parseValue(String text, String line) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new WireException("a load report value is not a number: " + text, line);
        }
    }

    private static int columnOf(String name) {
        return switch (name) {
            case "utilization" -> 0;
            case "backlog" -> 1;
            case "outstanding" -> 2;
            case "x0" -> 3;
            case "x1" -> 4;
            default -> -1;
        };
    }
}
