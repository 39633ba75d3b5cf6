package org.cranberrygauge.verification;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.source.doctree.DocCommentTree;
import com.sun.source.doctree.DocTree;
import com.sun.source.doctree.ParamTree;
import com.sun.source.doctree.ReturnTree;
import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.tree.Tree;
import com.sun.source.tree.VariableTree;
import com.sun.source.util.DocTrees;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreePathScanner;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;

/** Rejects doc comments that say no more than the name they stand on, and interface methods without a doc comment. */
class DocumentationTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    /** Words that add nothing to a name in a comment such as "Returns the pool." */
    private static final Set<String> FILLERS = Set.of(
            "a",
            "an",
            "and",
            "are",
            "by",
            "class",
            "constructor",
            "creates",
            "for",
            "get",
            "gets",
            "given",
            "in",
            "instance",
            "is",
            "it",
            "its",
            "new",
            "object",
            "of",
            "on",
            "only",
            "result",
            "return",
            "returns",
            "set",
            "sets",
            "that",
            "the",
            "their",
            "this",
            "to",
            "value",
            "which",
            "with");

    @Test
    void no_doc_comment_only_restates_a_name() throws IOException {
        assertThat(scan().restated).isEmpty();
    }

    @Test
    void each_method_with_parameters_of_an_interface_has_a_doc_comment() throws IOException {
        assertThat(scan().undocumented).isEmpty();
    }

    @Test
    void a_comment_restates_a_name_if_it_has_no_word_beside_those_of_the_name() {
        assertThat(restates("The usage window.", "usageWindow")).isTrue();
        assertThat(restates("Returns the limits.", "limit")).isTrue();
        assertThat(restates("The only instance.", "INSTANCE")).isTrue();
        assertThat(restates("The usage window in milliseconds.", "usageWindow")).isFalse();
        assertThat(restates("", "usageWindow")).isFalse();
    }

    private static Scan scan() throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
            JavacTask task = (JavacTask)
                    compiler.getTask(null, files, null, null, null, files.getJavaFileObjectsFromPaths(sources()));
            Scan scan = new Scan(DocTrees.instance(task));
            for (CompilationUnitTree unit : task.parse()) {
                scan.scan(unit, null);
            }
            return scan;
        }
    }

    private static List<Path> sources() throws IOException {
        List<Path> sources = new ArrayList<>();
        try (Stream<Path> modules = Files.list(ROOT)) {
            for (Path folder : modules.map(module -> module.resolve("src"))
                    .filter(Files::isDirectory)
                    .toList()) {
                try (Stream<Path> files = Files.walk(folder)) {
                    files.filter(file -> file.toString().endsWith(".java"))
                            .filter(file -> !file.toString().contains("/generated/"))
                            .forEach(sources::add);
                }
            }
        }
        assertThat(sources).hasSizeGreaterThan(100);
        return sources;
    }

    /** Answers whether all words of a comment are fillers or words of the name, plural or not. */
    private static boolean restates(String comment, String name) {
        String[] words = comment.replaceAll("\\{@\\w+|[^A-Za-z0-9]", " ").trim().split("\\s+");
        Set<String> names = new HashSet<>();
        Arrays.stream(name.replaceAll("(?<=[a-z0-9])(?=[A-Z])", "_").split("_"))
                .map(DocumentationTest::stem)
                .forEach(names::add);
        return !comment.isBlank()
                && Arrays.stream(words)
                        .map(word -> word.toLowerCase(Locale.ROOT))
                        .filter(word -> !FILLERS.contains(word))
                        .allMatch(word -> names.contains(stem(word)));
    }

    private static String stem(String word) {
        String lower = word.toLowerCase(Locale.ROOT);
        return lower.length() > 3 && lower.endsWith("s") ? lower.substring(0, lower.length() - 1) : lower;
    }

    /** Collects what breaks the rules; for one thread. */
    private static final class Scan extends TreePathScanner<Void, Void> {

        private final DocTrees trees;

        private final List<String> restated = new ArrayList<>();

        private final List<String> undocumented = new ArrayList<>();

        private Scan(DocTrees trees) {
            this.trees = trees;
        }

        @Override
        public Void visitClass(ClassTree node, Void nothing) {
            checkComment(node.getSimpleName().toString());
            return super.visitClass(node, nothing);
        }

        @Override
        public Void visitMethod(MethodTree node, Void nothing) {
            Tree parent = getCurrentPath().getParentPath().getLeaf();
            boolean constructor = node.getName().contentEquals("<init>");
            String owner = ((ClassTree) parent).getSimpleName().toString();
            checkComment(constructor ? owner : node.getName().toString());
            boolean required = parent.getKind() == Tree.Kind.INTERFACE
                    && node.getBody() == null
                    && !node.getParameters().isEmpty();
            if (required && trees.getDocCommentTree(getCurrentPath()) == null && !path().contains("/src/test/")) {
                undocumented.add(path() + " " + owner + "." + node.getName());
            }
            return super.visitMethod(node, nothing);
        }

        @Override
        public Void visitVariable(VariableTree node, Void nothing) {
            checkComment(node.getName().toString());
            return super.visitVariable(node, nothing);
        }

        /** Checks the doc comment of the current element, if it has one. */
        private void checkComment(String name) {
            DocCommentTree comment = trees.getDocCommentTree(getCurrentPath());
            if (comment == null) {
                return;
            }
            check(text(comment.getFullBody()), name);
            for (DocTree tag : comment.getBlockTags()) {
                if (tag instanceof ParamTree parameter) {
                    check(text(parameter.getDescription()), parameter.getName().toString());
                }
                if (tag instanceof ReturnTree result) {
                    check(text(result.getDescription()), name);
                }
            }
        }

        private void check(String comment, String name) {
            if (restates(comment, name)) {
                restated.add(path() + " " + name + ": " + comment);
            }
        }

        private String path() {
            return ROOT.relativize(Path.of(getCurrentPath()
                            .getCompilationUnit()
                            .getSourceFile()
                            .toUri()))
                    .toString();
        }

        private static String text(List<? extends DocTree> parts) {
            return String.join(" ", parts.stream().map(DocTree::toString).toList());
        }
    }
}
