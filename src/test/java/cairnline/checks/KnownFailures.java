package cairnline.checks;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * JUnit extension that expects the tests listed in {@code KNOWN-RED.txt} to fail. A listed test that fails is reported as
 * skipped; one that passes is reported as failed, since its entry is out of date. Other tests are not affected.
 */
public final class KnownFailures implements InvocationInterceptor {
    private static final Path LIST = Path.of("KNOWN-RED.txt");

    private final Set<String> knownFailures = readList();

    /** Returns the names of the listed tests: the first word of each line that is not blank, indented or a comment. */
    private static Set<String> readList() {
        try (var lines = Files.lines(LIST)) {
            return lines.filter(line -> !line.isBlank() && !line.startsWith("#") && !line.startsWith(" "))
                    .map(line -> line.split("\\s+")[0]).collect(Collectors.toSet());
        } catch (IOException e) {
            throw new IllegalStateException(LIST + " can't be read", e);
        }
    }

    @Override
    public void interceptTestMethod(Invocation<Void> test, ReflectiveInvocationContext<Method> invocation,
                                    ExtensionContext context) throws Throwable {
        run(test, invocation.getTargetClass().getName() + "#" + invocation.getExecutable().getName());
    }

    /** A parameterised invocation is listed with its arguments, such as {@code CLASS#METHOD[7]}. */
    @Override
    public void interceptTestTemplateMethod(Invocation<Void> test, ReflectiveInvocationContext<Method> invocation,
                                            ExtensionContext context) throws Throwable {
        run(test, invocation.getTargetClass().getName() + "#" + invocation.getExecutable().getName()
                + invocation.getArguments().toString().replace(" ", ""));
    }

    private void run(Invocation<Void> test, String name) throws Throwable {
        if (!knownFailures.contains(name)) {
            test.proceed();
            return;
        }
        Throwable failure = failureOf(test);
        if (failure == null) {
            throw new AssertionError(name + " passes but is listed in " + LIST);
        }
        System.out.println("known failure: " + name + ": " + failure);
        throw new TestAbortedException("known failure: " + failure, failure);
    }

    private static Throwable failureOf(Invocation<Void> test) {
        try {
            test.proceed();
            return null;
        } catch (Throwable failure) {
            return failure;
        }
    }
}
