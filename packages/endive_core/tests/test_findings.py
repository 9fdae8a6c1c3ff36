from endive_core.catalogue import Catalogue
from endive_core.findings import findings
from endive_core.resources import BackendServerService, Deployment, ModelVersion


def catalogue(**deployments):
    shown = Catalogue()
    shown.deployments.update(deployments)
    shown._index()
    return shown


def test_dangling_references_are_told_on_the_deployment():
    shown = catalogue(
        chat=Deployment(model="chat", service="engines", version="chat-1")
    )
    assert findings(shown, "deployment", "chat") == [
        "there is no backend server service 'engines'",
        "there is no model version 'chat-1'",
    ]
    shown.services["engines"] = BackendServerService()
    shown.model_versions["chat-1"] = ModelVersion(model="other", weights="w")
    told = findings(shown, "deployment", "chat")
    assert "lists no servers" in told[0]
    assert "is of 'other'" in told[1]


def test_second_deployment_of_a_model_is_told_which_one_answers():
    shown = catalogue(
        a=Deployment(model="chat", service="s"), b=Deployment(model="chat", service="s")
    )
    assert "'a' already answers" in findings(shown, "deployment", "b")[-1]
    assert "already" not in " ".join(findings(shown, "deployment", "a"))
