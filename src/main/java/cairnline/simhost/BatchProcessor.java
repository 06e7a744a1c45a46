package cairnline.simhost;

import cairnline.control.Control;
import cairnline.control.ControlApi;
import cairnline.control.ControlApi.AttemptStatus;
import cairnline.control.ControlApi.Engine;
import cairnline.control.ControlApi.EngineStatus;
import cairnline.control.ControlApi.Load;
import cairnline.control.ControlApi.StatusUpdate;
import cairnline.control.ControlApi.StatusKind;
import cairnline.control.ControlApi.Outcome;
import cairnline.control.ControlApi.Request;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads batches of events, hands them to the instances they name and collects their actions. */
final class BatchProcessor {
    private static final long NS_PER_MS = 1_000_000;
    private static final int COST_BASE = 4096;
    private static final int MB_PER_COST_UNIT = 4;
    private static final int KEPT_LISTS = 16;

    private record Instance(ControlApi control, ActionWriter replies) { }

    private final Map<Long, Instance> instances = new HashMap<>();
    private final List<List<Engine>> lists = new ArrayList<>();
    private final Fields in = new Fields();

    BatchProcessor() {
        for (int i = 0; i < KEPT_LISTS; i++) {
            lists.add(null);
        }
    }

    /** Handles one batch; false at the end of input. */
    boolean batch(BufferedReader reader, StringBuilder reply) throws IOException {
        String line = reader.readLine();
        if (line == null) {
            return false;
        }
        if (!in.read(line).equals("TURN")) {
            throw new WireException("a batch starts with TURN", line);
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
            event(name, line, now, reader, reply);
        }
        reply.append("OK\n");
        return true;
    }

    private void event(String name, String line, long now, BufferedReader reader, StringBuilder reply)
            throws IOException {
        switch (name) {
            case "INVENTORY" -> inventory(line, reader);
            case "HELLO" -> hello(now, line, reply);
            case "EXIT" -> {
                instance(line);
                instances.remove(in.integer("frontId"));
            }
            default -> dispatch(name, line, now);
        }
    }

    private void hello(long now, String line, StringBuilder reply) {
        long front = in.integer("frontId");
        ActionWriter replies = new ActionWriter(reply, front);
        try {
            ControlApi control = new Control(new SettingsReader(in).read(), in.integer("randomSeed", 0), now, replies);
            instances.put(front, new Instance(control, replies));
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage(), line);
        }
    }

    private Instance instance(String line) {
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
        Instance instance = instance(line);
        try {
            deliver(instance.control(), name, line, now);
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            instance.replies().crash(e);
        }
    }

    private void deliver(ControlApi control, String name, String line, long now) {
        switch (name) {
            case "REGISTRY" -> registry(control, line, now);
            case "NEW_REQUEST" -> control.onRequest(now, request());
            case "STREAMING" -> control.onStreaming(now, in.text("msgId"), (int) in.integer("attempt", 0));
            case "RETURNED" -> control.onOutcome(now, outcome(line));
            case "STATUS_NOTE" -> note(control, line, now);
            case "ABANDONED" -> control.onAbandoned(now, in.text("msgId"));
            case "TIMER" -> control.onTimer(now, in.integer("handle"));
            case "ECHO" -> control.onProbeResult(now, in.text("engine"), end(line) == AttemptStatus.OK, in.integer("rttNs", 0), load(line));
            case "PEER" -> control.onPeerMessage(now, (int) in.integer("sender"), bytes(line));
            default -> throw new WireException("unknown event " + name, line);
        }
    }

    private byte[] bytes(String line) {
        String text = in.text("contents", "-");
        try {
            return text.equals("-") ? new byte[0] : Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new WireException("contents are not base64", line);
        }
    }

    private void inventory(String line, BufferedReader reader) throws IOException {
        int sheet = sheet(line);
        long rows = in.integer("rows");
        List<Engine> entries = new ArrayList<>();
        for (long i = 0; i < rows; i++) {
            String row = reader.readLine();
            if (row == null || !in.read(row).equals("ENTRY")) {
                throw new WireException("an INVENTORY holds fewer entries than it says", line);
            }
            entries.add(new Engine(in.text("engine"), listed(row), in.text("locality", ""), in.text("flavor", ""),
                    (int) in.integer("cluster", 0), in.number("nominal", 1), in.integer("cameUpNs", 0)));
        }
        lists.set(sheet, entries);
    }

    private EngineStatus listed(String line) {
        return switch ((int) in.integer("status", 1)) {
            case 1 -> EngineStatus.READY;
            case 2 -> EngineStatus.DRAINING;
            case 0 -> EngineStatus.REMOVED;
            default -> throw new WireException("unknown status", line);
        };
    }

    private int sheet(String line) {
        long sheet = in.integer("sheet");
        if (sheet < 0 || sheet >= KEPT_LISTS) {
            throw new WireException("an INVENTORY number lies outside 0 to 15", line);
        }
        return (int) sheet;
    }

    private void registry(ControlApi control, String line, long now) {
        long kind = in.integer("kind");
        if (kind == 0) {
            control.onDiscoveryUnreachable(now);
            return;
        }
        if (kind < 2 || kind > 4) {
            throw new WireException("unknown kind of REGISTRY", line);
        }
        List<Engine> entries = lists.get(sheet(line));
        if (entries == null) {
            throw new WireException("no INVENTORY bears this number", line);
        }
        control.onEngineList(now, kind != 2, entries);
    }

    private Request request() {
        long bits = in.integer("stateBits", 0);
        return new Request(in.text("msgId"), in.text("type"), in.text("customer", ""), in.has("object"),
                in.integer("object", 0), in.integer("budgetNs"), (bits & 1) != 0 ? in.integer("planCostNs", 0) : 0,
                in.number("needMb", 0), (int) in.number("tableGroup", -1), (bits & 2) != 0);
    }

    private Outcome outcome(String line) {
        long cost = in.integer("trueCost", 0);
        return new Outcome(in.text("msgId"), (int) in.integer("attempt", 0), in.text("engine"), end(line),
                in.integer("rttNs", 0), in.flag("last", false), cost / COST_BASE * NS_PER_MS,
                cost % COST_BASE * MB_PER_COST_UNIT, load(line));
    }

    private AttemptStatus end(String line) {
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

    private void note(ControlApi control, String line, long now) {
        double amount = in.number("amount", 0);
        StatusKind kind = switch ((int) in.integer("kind")) {
            case 1 -> StatusKind.PROGRESS;
            case 2 -> StatusKind.SPILL;
            case 3 -> amount >= 2 ? StatusKind.WAITS_LOAD : StatusKind.WAITS_MEMORY;
            default -> null;
        };
        if (kind != null) {
            control.onStatusUpdate(now, new StatusUpdate(in.text("msgId"), (int) in.integer("attempt", 0), in.text("engine"), kind, amount));
        }
    }

    private Load load(String line) {
        String text = in.text("healthInfo", "");
        if (text.isEmpty() || text.equals("-")) {
            return Load.NONE;
        }
        double[] v = {Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN};
        int start = 0;
        while (start < text.length()) {
            int comma = text.indexOf(',', start);
            int stop = comma < 0 ? text.length() : comma;
            int colon = text.indexOf(':', start);
            if (colon < 0 || colon > stop) {
                throw new WireException("a load report holds no value", line);
            }
            int column = column(text.substring(start, colon));
            if (column >= 0) {
                v[column] = value(text.substring(colon + 1, stop), line);
            }
            start = stop + 1;
        }
        return new Load(v[0], v[1], v[2], v[3], v[4]);
    }

    private static double value(String text, String line) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new WireException("a load report value is not a number: " + text, line);
        }
    }

    private static int column(String name) {
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
