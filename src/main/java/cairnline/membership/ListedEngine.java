package cairnline.membership;

import cairnline.control.ControlApi.Listed;

/** An engine as the list has it; {@code startedAt} is 0 for long ago. */
public record ListedEngine(String id, String address, Listed listed, String zone, String kind, int cell, double size,
                           long startedAt) { }
